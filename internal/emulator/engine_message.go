package emulator

import (
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// EngineMessage is an input of an engine's controller.
type EngineMessage interface{ isEngineMessage() }

// EngineSubmit submits a generation. It is answered by EngineAccept or
// EngineRefuse.
type EngineSubmit struct {
	Call runner.Call
	Job  EngineJob
}

// EngineCancel cancels a generation. It has no effect on one that has ended.
type EngineCancel struct{ Attempt string }

// EngineSubmitOrder submits a placement order. It is answered by
// EngineAcceptOrder or EngineRefuse.
type EngineSubmitOrder struct {
	Call runner.Call
	// Token is the order token that the sender supplied.
	Token string
	Order EngineOrder
}

// EngineGetReport requests a load report. It is answered by EngineReport.
type EngineGetReport struct{ Call runner.Call }

// EngineGetEvents requests the prefix-cache events after a sequence number. It
// is answered by EngineEvents.
type EngineGetEvents struct {
	Call  runner.Call
	After uint64
}

// EngineGetFaults requests the current faults. It is answered by
// EngineCurrentFaults.
type EngineGetFaults struct{ Call runner.Call }

// EngineSetFaults replaces the faults. It is answered by EngineCurrentFaults.
type EngineSetFaults struct {
	Call   runner.Call
	Faults EngineFaults
}

// EngineFetched reports the result of a transfer from the weight store.
type EngineFetched struct {
	Model   string
	FetchID uint64
	Result  EngineFetchResult
}

// EngineTick is delivered at the controller's wake time.
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

// EngineAccept accepts a generation. EngineEmit effects with its lines follow.
type EngineAccept struct {
	Call    runner.Call
	Attempt string
	// MaxTokens is an upper bound on the number of tokens that follow.
	MaxTokens int
	// Fault is the fault injected into the answer, after After token lines.
	Fault EngineStreamFault
	After int
}

// EngineRefuse refuses a generation or an order.
type EngineRefuse struct {
	Call    runner.Call
	Refusal EngineRefusal
}

// EngineRefusal is the reason for which an engine refused a request. The zero
// value means that the request was accepted.
type EngineRefusal struct {
	// Status is the HTTP status.
	Status int
	Error  string
	// Fence is the highest accepted fence if the order's fence was stale.
	Fence uint64
}

// EngineAcceptOrder accepts an order.
type EngineAcceptOrder struct{ Call runner.Call }

// EngineEmit writes a line of an answer.
type EngineEmit struct {
	Attempt string
	Line    EngineLine
}

// EngineEnd closes an answer: after its EngineDone line, or without that line
// if the generation was cancelled.
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

// EngineKeepAlive is a line without content that shows that the connection is
// alive.
type EngineKeepAlive struct{}

// EngineDone is the last line of a complete answer.
type EngineDone struct {
	PromptTokens int
	// CompletionTokens is the length of the whole answer. In a resumed answer it
	// includes the tokens before the resumption.
	CompletionTokens int
	FinishReason     string
}

func (EngineToken) isEngineLine()     {}
func (EngineKeepAlive) isEngineLine() {}
func (EngineDone) isEngineLine()      {}

// EngineJob describes a generation.
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
	// Priority is the order in the queue: lower values go first.
	Priority int
	// From is the index of the first token to send; above 0 in a resumed answer.
	From int
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

// EngineFetchResult is the result of a transfer from the weight store.
type EngineFetchResult string

// The results of a transfer.
const (
	EngineTransferDone      EngineFetchResult = "Done"
	EngineTransferThrottled EngineFetchResult = "Throttled"
	EngineTransferFailed    EngineFetchResult = "Failed"
)
