package filter

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Admission describes a request to the scheduler.
type Admission struct {
	// Model and Adapter are keys; both are empty for service calls.
	Model   string
	Adapter string
	// Service is empty for generations.
	Service   string
	Workspace string
	// Weight is the workspace's weight, above 0.
	Weight       float64
	Class        Class
	Deadline     time.Time
	PromptTokens int
	MaxTokens    int
	// Prefix is a hash of the start of the prompt, 0 for service calls.
	Prefix uint64
	// Avoid holds the names of endpoints at which earlier attempts of the
	// request failed.
	Avoid []string
}

// SlotResult reports to the scheduler how a slot was used.
type SlotResult struct {
	// Failed reports that the endpoint did not answer correctly.
	Failed bool
	// Refused reports that the endpoint refused the attempt, which therefore
	// did not run there.
	Refused bool
	// FirstToken is the time to the first token, 0 if there was none.
	FirstToken time.Duration
	// Tokens is the number of generated tokens.
	Tokens int
	// Duration is how long the attempt held the slot.
	Duration time.Duration
}

// Scheduler allocates slots at endpoints to requests.
type Scheduler interface {
	// Admit waits for a slot. The error is a Refusal or the error of the
	// context.
	Admit(ctx context.Context, admission Admission) (Slot, error)
	// Release releases a slot.
	Release(slot Slot, result SlotResult)
}

// Admit waits until the request has a slot at an endpoint.
type Admit struct {
	View      View
	Scheduler Scheduler
}

// Filter implements the Filter interface. The Dispatch filter, which measures how
// the slot was used, releases it; the clean-up does so if the request ends
// before that.
func (f Admit) Filter(ctx context.Context, request *Request) Verdict {
	waitCtx, stop := f.withdrawalContext(ctx, request)
	defer stop()
	slot, err := f.Scheduler.Admit(waitCtx, newAdmission(request))
	if err != nil {
		return refuseForError(waitCtx, err)
	}
	request.Slot = slot
	return Pass{CleanUp: func(Outcome) {
		if request.Slot.ID != 0 {
			f.Scheduler.Release(request.Slot, SlotResult{})
		}
	}}
}

// withdrawalContext returns a context that is cancelled when the model, adapter
// or route of the request is withdrawn, so that a waiting request does not start
// after that.
func (f Admit) withdrawalContext(ctx context.Context, request *Request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			changed := f.View.Changed()
			if !isConfigured(f.View.Configuration(), request) {
				cancel(withdrawalCause(request))
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

func withdrawalCause(request *Request) error {
	if _, ok := request.Work.(Call); ok {
		return ErrRouteWithdrawn
	}
	return ErrTargetWithdrawn
}

func isConfigured(configuration *releaser.Configuration, request *Request) bool {
	if call, ok := request.Work.(Call); ok {
		_, err := configuration.Route(call.Service, call.Method, call.Path)
		return err == nil
	}
	model := request.Target.Model
	if _, ok := configuration.Models[releaser.Key(model.Name, model.Version)]; !ok {
		return false
	}
	adapter := request.Target.Adapter
	if adapter == nil {
		return true
	}
	_, ok := configuration.Adapters[releaser.Key(adapter.Name, adapter.Version)]
	return ok
}

// maxPrefixBytes is the length of the start of a prompt that identifies its cached
// prefix.
const maxPrefixBytes = 256

func newAdmission(request *Request) Admission {
	admission := Admission{
		Workspace: request.Workspace,
		Weight:    1,
		Class:     request.Class,
		Deadline:  request.Deadline,
	}
	if weight := request.Configuration.Workspaces[request.Workspace].Weight; weight > 0 {
		admission.Weight = weight
	}
	switch work := request.Work.(type) {
	case Call:
		admission.Service = work.Service
	case Generation:
		admission.Model = releaser.Key(request.Target.Model.Name, request.Target.Model.Version)
		if adapter := request.Target.Adapter; adapter != nil {
			admission.Adapter = releaser.Key(adapter.Name, adapter.Version)
		}
		admission.PromptTokens = work.PromptTokens
		admission.MaxTokens = work.MaxTokens
		admission.Prefix = Prefix(work.Prompt)
	}
	return admission
}

// Prefix returns the hash of the start of a prompt, which nodes and engines use to
// identify a cached prefix.
func Prefix(prompt string) uint64 {
	if len(prompt) > maxPrefixBytes {
		prompt = prompt[:maxPrefixBytes]
	}
	return xxhash.Sum64String(prompt)
}
