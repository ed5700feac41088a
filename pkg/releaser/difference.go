package releaser

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Difference lists the changes from one configuration to another, with one line
// for each entry, for operators: "+" added, "-" withdrawn, "~" changed.
func Difference(from, to *Configuration) []string {
	var lines []string
	lines = append(lines, compare("model", from.Models, to.Models)...)
	lines = append(lines, compare("adapter", from.Adapters, to.Adapters)...)
	lines = append(lines, compare("service", from.Services, to.Services)...)
	lines = append(lines, compare("workspace", from.Workspaces, to.Workspaces)...)
	return append(lines, compareGrants(from.Grants, to.Grants)...)
}

func compare[V any](kind string, from, to map[string]V) []string {
	var lines []string
	for _, key := range sortedKeys(from, to) {
		before, inFrom := from[key]
		after, inTo := to[key]
		switch {
		case !inFrom:
			lines = append(lines, fmt.Sprintf("+ %s %s %+v", kind, key, after))
		case !inTo:
			lines = append(lines, fmt.Sprintf("- %s %s", kind, key))
		case !reflect.DeepEqual(before, after):
			lines = append(lines, fmt.Sprintf("~ %s %s %+v (was %+v)", kind, key, after, before))
		}
	}
	return lines
}

// compareGrants identifies grants by their ID, since operators do not know the
// digests.
func compareGrants(from, to map[string]Grant) []string {
	var lines []string
	for _, digest := range sortedKeys(from, to) {
		before, inFrom := from[digest]
		after, inTo := to[digest]
		switch {
		case !inFrom:
			lines = append(lines, fmt.Sprintf("+ key %s of workspace %s", after.ID, after.Workspace))
		case !inTo:
			lines = append(lines, fmt.Sprintf("- key %s of workspace %s", before.ID, before.Workspace))
		}
	}
	return lines
}

func sortedKeys[V any](from, to map[string]V) []string {
	all := maps.Clone(from)
	if all == nil {
		all = map[string]V{}
	}
	maps.Copy(all, to)
	return slices.Sorted(maps.Keys(all))
}
