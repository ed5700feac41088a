package emulator

import (
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// EngineMessage is an input of an engine's controller.
type EngineMessage interface{ isEngineMessage() }

// EngineSubmit asks for a generation. It is answered by EngineAccept or
// EngineRefuse.
type EngineSubmit struct {
	Call runner.Call
	Job  EngineJob
}

// EngineCancel stops a generation.
type EngineCancel struct{ Attempt string }

// EngineSubmitOrder gives a placement order. It is answered by EngineAcceptOrder or
// EngineRefuse.
type EngineSubmitOrder struct {
	Call runner.Call
	// Token is the order token that the sender presented.
	Token string
	Order EngineOrder
}

// EngineGetReport asks for a load report, answered by EngineReport.
type EngineGetReport struct{ Call runner.Call }

// EngineGetEvents asks for the prefix-cache events after a sequence, answered
// by EngineEvents.
type EngineGetEvents struct {
	Call  runner.Call
	After uint64
}

// EngineGetFaults asks for the faults in force, answered by EngineCurrentFaults.
type EngineGetFaults struct{ Call runner.Call }

// EngineSetFaults replaces the faults. It is answered by EngineCurrentFaults.
type EngineSetFaults struct {
	Call   runner.Call
	Faults EngineFaults
}

// EngineFetched reports the end of a transfer from the weight store.
type EngineFetched struct {
	Model   string
	FetchID uint64
	Result  EngineFetchResult
}

// EngineTick reports that the controller's wake time has come.
type EngineTick struct{}

func (EngineSubmit) isEngineMessage()      {}
func (EngineCancel) isEngineMessage()      {}
func (EngineSubmitOrder) isEngineMessage() {}
func (EngineGetReport) isEngineMessage()   {}
func (EngineGetEvents) isEngineMessage()   {}
func (EngineGetFaults) isEngineMessage()   {}
func (EngineSetFaults) isEngineMessage()   {}
func (EngineFetched) isEngineMessage()     {}
func (EngineTick) isEngineMessage()        {}

// EngineEffect is an output of an engine's controller.
type EngineEffect interface{ isEngineEffect() }

// EngineAccept accepts a generation, whose lines follow.
type EngineAccept struct {
	Call    runner.Call
	Attempt string
	// Lines is the largest number of tokens that follow.
	MaxTokens int
	// Fault and After describe the fault of the answer.
	Fault EngineStreamFault
	After int
}

// EngineRefuse refuses a generation or an order.
type EngineRefuse struct {
	Call    runner.Call
	Refusal EngineRefusal
}

// EngineRefusal says why an engine did nothing.
type EngineRefusal struct {
	// Status is the HTTP status.
	Status int
	Error  string
	// Fence is the highest fence seen, for a stale one.
	Fence uint64
}

// EngineAcceptOrder accepts an order.
type EngineAcceptOrder struct{ Call runner.Call }

// EngineEmit sends a line of an answer.
type EngineEmit struct {
	Attempt string
	Line    EngineLine
}

// EngineEnd ends an answer after its last line, or without one if it was
// cancelled.
type EngineEnd struct{ Attempt string }

// EngineFetch starts a transfer from the weight store.
type EngineFetch struct {
	Model    string
	FetchID  uint64
	MemoryMB int
}

// EngineReport answers EngineGetReport.
type EngineReport struct {
	Call   runner.Call
	Report tracker.Report
}

// EngineEvents answers EngineGetEvents.
type EngineEvents struct {
	Call   runner.Call
	Last   uint64
	Events []EnginePrefixEvent
}

// EngineCurrentFaults answers EngineGetFaults and EngineSetFaults.
type EngineCurrentFaults struct {
	Call   runner.Call
	Faults EngineFaults
}

func (EngineAccept) isEngineEffect()        {}
func (EngineRefuse) isEngineEffect()        {}
func (EngineAcceptOrder) isEngineEffect()   {}
func (EngineEmit) isEngineEffect()          {}
func (EngineEnd) isEngineEffect()           {}
func (EngineFetch) isEngineEffect()         {}
func (EngineReport) isEngineEffect()        {}
func (EngineEvents) isEngineEffect()        {}
func (EngineCurrentFaults) isEngineEffect() {}

// EngineLine is a line of an answer: EngineToken, EngineKeepAlive or
// EngineDone.
type EngineLine interface{ isEngineLine() }

// EngineToken is a generated token.
type EngineToken struct {
	Index int
	Text  string
}

// EngineKeepAlive shows that the connection is alive.
type EngineKeepAlive struct{}

// EngineDone ends an answer.
type EngineDone struct {
	PromptTokens int
	// CompletionTokens counts from index 0, also in a resumed answer.
	CompletionTokens int
	FinishReason     string
}

func (EngineToken) isEngineLine()     {}
func (EngineKeepAlive) isEngineLine() {}
func (EngineDone) isEngineLine()      {}

// EngineJob is a generation.
type EngineJob struct {
	Attempt string
	// Model and Adapter are keys, "name@version"; Adapter may be empty.
	Model        string
	Adapter      string
	Prompt       string
	PromptTokens int
	// Prefix is the hash of the prompt's start.
	Prefix    uint64
	MaxTokens int
	Priority  int
	From      int
}

// EngineOrderKind is the kind of a placement order.
type EngineOrderKind string

// The kinds of orders.
const (
	EngineLoadModel     EngineOrderKind = "LoadModel"
	EngineUnloadModel   EngineOrderKind = "UnloadModel"
	EngineLoadAdapter   EngineOrderKind = "LoadAdapter"
	EngineUnloadAdapter EngineOrderKind = "UnloadAdapter"
	EngineChangeRole    EngineOrderKind = "ChangeRole"
)

// EngineOrder is a placement order.
type EngineOrder struct {
	Kind EngineOrderKind
	// Model and Adapter are keys, "name@version".
	Model    string
	Adapter  string
	MemoryMB int
	Fence    uint64
}

// EngineFetchResult is how a transfer from the weight store ended.
type EngineFetchResult string

// The results of a transfer.
const (
	EngineTransferDone      EngineFetchResult = "Done"
	EngineTransferThrottled EngineFetchResult = "Throttled"
	EngineTransferFailed    EngineFetchResult = "Failed"
)
