package releaser_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"golang.org/x/tools/txtar"

	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Each script holds release notes that are applied in order. The trace shows the
// changes of each note, or the violations for which it was rejected. Guards
// against notes that are applied in part, violations that are not reported, and
// names that resolve to a withdrawn or older version.
func TestNotes(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, applyAll(archive))
		})
	}
}

func applyAll(archive *txtar.Archive) []byte {
	var trace bytes.Buffer
	current := releaser.Empty()
	for _, file := range archive.Files {
		fmt.Fprintf(&trace, "%s\n", file.Name)
		next, err := applyNote(current, file.Data)
		if err != nil {
			fmt.Fprintf(&trace, "  %s\n", strings.ReplaceAll(err.Error(), "\n", "\n  "))
			continue
		}
		for _, line := range releaser.Difference(current, next) {
			fmt.Fprintf(&trace, "  %s\n", line)
		}
		fmt.Fprintf(&trace, "  names %s\n", strings.Join(releaser.Names(next), " "))
		if target, err := next.Resolve("m"); err == nil {
			fmt.Fprintf(&trace, "  m resolves to version %s\n", target.Model.Version)
		}
		current = next
	}
	return trace.Bytes()
}

func applyNote(current *releaser.Configuration, data []byte) (*releaser.Configuration, error) {
	note, err := parser.Note(data)
	if err != nil {
		return nil, err
	}
	return releaser.Apply(current, releaser.ApplyNote{Note: note})
}

// Guards against a change log that differs after encoding and decoding, and
// against a replay whose result differs from that of applying the changes one by
// one.
func TestChangeLogRoundTrip(t *testing.T) {
	head, current := releaser.Head{}, releaser.Empty()
	bodies := []releaser.Body{
		releaser.ApplyNote{Note: releaser.Note{Name: "n", Workspaces: []releaser.WorkspaceEntry{
			{Action: releaser.Add, Workspace: releaser.Workspace{Name: "w", Rate: 1, Burst: 2}},
		}}},
		releaser.GrantKey{Grant: releaser.Grant{ID: "k", Workspace: "w", Digest: releaser.Digest(releaser.NewKey())}},
		releaser.WithdrawKey{GrantID: "k"},
	}
	for i, body := range bodies {
		var err error
		head, current, err = head.Append(current, releaser.Change{ID: fmt.Sprint(i), Body: body})
		if err != nil {
			t.Fatal(err)
		}
	}
	decoded, err := parser.DecodeHead(parser.EncodeHead(head))
	if err != nil {
		t.Fatal(err)
	}
	replayed, err := releaser.Replay(releaser.Empty(), decoded.Changes)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := parser.EncodeConfiguration(replayed), parser.EncodeConfiguration(current); !bytes.Equal(got, want) {
		t.Errorf("replayed %s; want %s", got, want)
	}
}
