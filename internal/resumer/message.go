package resumer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Origin is the service and the software version that began a stream.
type Origin struct{ Service, Version string }

// Record is the origin of a stream, which is identified by the caller's request that
// brought its first event. Age is the time since that.
type Record struct {
	Stream string
	Origin Origin
	Age    time.Duration
}

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// StateReceived is what the holder has published. ListedAt is when its list of replicas
// was current, and Peers are the addresses of the other nodes. Assignments are sorted by key; the
// slice is the same as long as nothing has changed.
type StateReceived struct {
	Published   Published
	ListedAt    time.Time
	Peers       []string
	Assignments []Assignment `json:",omitempty"`
}

// StreamBegun reports that this node has passed on the first event of a stream. Split is
// set if the route leads to more than one service.
type StreamBegun struct {
	Stream string
	Origin Origin
	Split  bool `json:",omitempty"`
}

// Remember delivers records of another node, of which this node is a keeper.
type Remember struct{ Records []Record }

// Find requests the origin of a stream that a caller takes up again. Services are those
// to which its route leads. Model, Adapter and Key are those by which streams are assigned to
// versions. It is answered with AnswerFind.
type Find struct {
	Call           runner.Call
	Stream         string
	Services       []string
	Model, Adapter string `json:",omitempty"`
	Key            string `json:",omitempty"`
}

// CancelFind cancels a Find whose caller has gone.
type CancelFind struct{ Call runner.Call }

// Lookup is the question of another node for the origin of a stream. It is answered with
// AnswerLookup.
type Lookup struct {
	Call   runner.Call
	Stream string
}

// KeeperAnswered is the result of an AskKeeper.
type KeeperAnswered struct {
	Find   runner.Call
	Origin Origin
	Known  bool `json:",omitempty"`
	Failed bool `json:",omitempty"`
}

func (Tick) isMessage()           {}
func (StateReceived) isMessage()  {}
func (StreamBegun) isMessage()    {}
func (Remember) isMessage()       {}
func (Find) isMessage()           {}
func (CancelFind) isMessage()     {}
func (Lookup) isMessage()         {}
func (KeeperAnswered) isMessage() {}

// Effect is an output of Controller: SendRecords, AskKeeper, AnswerFind, AnswerLookup or
// SetBeginning.
type Effect interface{ isEffect() }

// SendRecords sends records to a keeper.
type SendRecords struct {
	Address string
	Records []Record
}

// AskKeeper asks a keeper for the origin of a stream and results in a KeeperAnswered.
type AskKeeper struct {
	Find    runner.Call
	Address string
	Stream  string
}

// AnswerFind answers a Find.
type AnswerFind struct {
	Call  runner.Call
	Found Found
}

// Found is the origin of a stream, if it is known.
type Found struct {
	Origin Origin
	Known  bool `json:",omitempty"`
	// Assigned is set if the origin was worked out from the assignments.
	Assigned bool `json:",omitempty"`
	// Unreachable is set if a node that may know the origin did not answer, and Why is the
	// reason why the assignments do not show it.
	Unreachable bool   `json:",omitempty"`
	Why         string `json:",omitempty"`
}

// AnswerLookup answers a Lookup.
type AnswerLookup struct {
	Call   runner.Call
	Origin Origin
	Known  bool `json:",omitempty"`
}

// SetBeginning replaces the versions that may begin streams, by service, and the assignments of
// models. Streams of other services begin at any version, and those of other models at any that
// may begin streams.
type SetBeginning struct {
	Versions    map[string][]string
	Assignments []Assignment `json:",omitempty"`
}

func (SendRecords) isEffect()  {}
func (AskKeeper) isEffect()    {}
func (AnswerFind) isEffect()   {}
func (AnswerLookup) isEffect() {}
func (SetBeginning) isEffect() {}
