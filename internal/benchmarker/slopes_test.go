package benchmarker

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// Guards against a fleet whose events do not reach the measurement: a holder
// of a lease, a crash of it, its successor, and a version in force everywhere.
func TestFleetEvents(t *testing.T) {
	s := slopes{SlopesSettings: SlopesSettings{Clock: clockwork.NewRealClock(), BasePort: tester.FreePorts(t, portsOfATest)}}
	fleet, cleanUp, err := s.fleet(t.Context(), 3)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanUp()
	holder, err := fleet.AwaitLease(leaseName, "", leaseLimit)
	if err != nil {
		t.Fatal(err)
	}
	at := slices.IndexFunc(fleet.Nodes, func(node *FleetNode) bool { return node.Name == holder.Node })
	fleet.Nodes[at].Crash()
	fleet.Nodes = slices.Delete(fleet.Nodes, at, at+1)
	if _, err := fleet.AwaitLease(leaseName, holder.Node, leaseLimit); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.PutModelInForce(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.AwaitInForce(100, 1, time.Millisecond); !errors.Is(err, ErrNotReached) {
		t.Errorf("a version that does not exist: %v; want ErrNotReached", err)
	}
}

// Guards against a name that is taken for another part.
func TestParsePart(t *testing.T) {
	if part, err := ParsePart("cold"); part != (Cold{}) || err != nil {
		t.Errorf("cold: %v, %v", part, err)
	}
	if _, err := ParsePart("all"); !errors.Is(err, ErrPart) {
		t.Errorf("all: %v; want ErrPart", err)
	}
}
