package commander_test

import (
	"os"
	"path/filepath"
	"testing"

	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// exampleNotes are the notes of docs/examples in the order in which
// docs/OPERATIONS.md applies them.
var exampleNotes = []string{"first-note.json", "second-note.json", "third-note.json"}

// Guards against documented release notes that fail validation or change
// nothing, and against example files that are not in the documented order.
func TestExamplesApplyInOrder(t *testing.T) {
	const directory = "../../docs/examples"
	files, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	if len(files) != len(exampleNotes) {
		t.Fatalf("%s has %d files; want %v", directory, len(files), exampleNotes)
	}
	configuration := releaser.Empty()
	for _, name := range exampleNotes {
		data, err := os.ReadFile(filepath.Join(directory, name))
		if err != nil {
			t.Fatal(err)
		}
		note, err := parser.Note(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		next, err := releaser.Apply(configuration, releaser.ApplyNote{Note: note})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(releaser.Difference(configuration, next)) == 0 {
			t.Errorf("%s changes nothing", name)
		}
		configuration = next
	}
}
