package benchmarker

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// Guards against events of a fleet that do not reach the measurement: a node
// acquires a lease, another one acquires it after the holder crashed, and a
// version comes into force on all nodes. Waiting for a version that does not exist
// has to time out.
func TestFleetEvents(t *testing.T) {
	run := slopesRun{SlopesSettings: SlopesSettings{Clock: clockwork.NewRealClock(), BasePort: tester.FreePorts(t, portsPerTest)}}
	fleet, cleanUp, err := run.newFleet(t.Context(), 3)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanUp()
	holder, err := fleet.AwaitLease(leaseName, "", leaseTimeout)
	if err != nil {
		t.Fatal(err)
	}
	index := slices.IndexFunc(fleet.Nodes, func(node *FleetNode) bool { return node.Name == holder.Node })
	fleet.Nodes[index].Crash()
	fleet.Nodes = slices.Delete(fleet.Nodes, index, index+1)
	if _, err := fleet.AwaitLease(leaseName, holder.Node, leaseTimeout); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.ConfigureModel(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.AwaitVersion(100, 1, time.Millisecond); !errors.Is(err, ErrNotReached) {
		t.Errorf("a version that does not exist: %v; want ErrNotReached", err)
	}
}

// Guards against a name that is parsed as another part, and against an unknown
// name that is accepted.
func TestParsePart(t *testing.T) {
	if part, err := ParsePart("cold"); part != (ColdPart{}) || err != nil {
		t.Errorf("cold: %v, %v", part, err)
	}
	if _, err := ParsePart("all"); !errors.Is(err, ErrUnknownPart) {
		t.Errorf("all: %v; want ErrUnknownPart", err)
	}
}
