package emulator

import (
	"maps"

	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// PlatformCopy is a copy of what a platform stand-in stores.
type PlatformCopy struct {
	Objects     map[storer.ID]PlatformObject
	LastVersion uint64
	ListVersion uint64
	Visible     map[string]tracker.Instance
}

func (p *PlatformController) copyState() PlatformCopy {
	return PlatformCopy{
		Objects: maps.Clone(p.Objects), LastVersion: p.LastVersion,
		ListVersion: p.List.Version, Visible: maps.Clone(p.List.Visible),
	}
}

// restore begins a new era with the state of the copy, which is empty if none was made.
// Later changes are lost, and their versions are given out again.
func (p *PlatformController) restore() {
	p.Era++
	p.Objects, p.LastVersion = map[storer.ID]PlatformObject{}, p.Copy.LastVersion
	maps.Copy(p.Objects, p.Copy.Objects)
	p.List.Version, p.List.Visible = p.Copy.ListVersion, map[string]tracker.Instance{}
	maps.Copy(p.List.Visible, p.Copy.Visible)
}
