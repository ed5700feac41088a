package emulator

import (
	"context"
	"errors"
	"net/http"
	"regexp"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
)

const (
	// platformInbox is above the number of calls that tests make at once.
	platformInbox = 8192
	// maxPlatformBody leaves room for the wrapping of a value of the largest
	// size; the controller checks the value itself.
	maxPlatformBody = 2 * storer.MaxValueBytes
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = time.Minute
)

var objectNamePattern = regexp.MustCompile(`^[A-Za-z0-9._@-]{1,200}$`)

// Platform is the HTTP front of a platform stand-in.
type Platform struct {
	clock clockwork.Clock
	task  *runner.Task[PlatformMessage, AnswerPlatformCall]
	mux   *http.ServeMux
}

// NewPlatform starts a platform stand-in. The function that it returns stops
// it; calls that still wait get an error.
func NewPlatform(settings PlatformSettings, clock clockwork.Clock) (*Platform, func(), error) {
	if err := settings.validate(); err != nil {
		return nil, nil, err
	}
	task := runner.New(runner.Settings[PlatformMessage, AnswerPlatformCall]{
		Name:       "platform",
		Clock:      clock,
		Controller: NewPlatformController(settings),
		Tick:       PlatformTick{},
		Perform: func(handle runner.Handle[PlatformMessage], effect AnswerPlatformCall) {
			handle.Answer(effect.Call, effect)
		},
		Inbox: platformInbox,
	})
	platform := &Platform{clock: clock, task: task, mux: http.NewServeMux()}
	platform.registerRoutes()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- task.Run(ctx) }()
	stop := func() {
		cancel()
		<-done
	}
	return platform, stop, nil
}

func (p *Platform) registerRoutes() {
	routes := map[string]func(*http.Request) (messageBuilder, error){
		"GET /objects/{Kind}/{Name}":      decodeGetOrWatch,
		"PUT /objects/{Kind}/{Name}":      decodePut,
		"DELETE /objects/{Kind}/{Name}":   decodeDelete,
		"GET /objects/{Kind}":             decodeList,
		"GET /instances":                  decodeWatchInstances,
		"PUT /instances/{Name}":           decodeSetInstance,
		"DELETE /instances/{Name}":        decodeRemoveInstance,
		"POST /weights/{Model}/{Version}": decodeTransfer,
		"PUT /faults":                     decodeSetFaults,
		"GET /faults":                     decodeGetFaults,
		"GET /calls":                      decodeGetCalls,
	}
	for pattern, decode := range routes {
		p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { p.handle(w, r, decode) })
	}
}

// ServeHTTP handles one call of the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) handle(w http.ResponseWriter, r *http.Request, decode func(*http.Request) (messageBuilder, error)) {
	build, err := decode(r)
	if errors.Is(err, encoder.ErrTooLarge) {
		writePlatformAnswer(w, ObjectTooLarge{})
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := runner.Ask[AnswerPlatformCall](r.Context(), p.task,
		func(call runner.Call) PlatformMessage { return build(Origin{call, r.RemoteAddr}) },
		func(call runner.Call) PlatformMessage { return CancelPlatformCall{call} })
	switch {
	case errors.Is(err, runner.ErrFull):
		writePlatformAnswer(w, CallUnavailable{})
	case err != nil: // the call may have taken effect
		writePlatformAnswer(w, ReplyLost{})
	default:
		p.respond(w, r, answer)
	}
}

func (p *Platform) respond(w http.ResponseWriter, r *http.Request, effect AnswerPlatformCall) {
	if effect.Delay > 0 {
		timer := p.clock.NewTimer(effect.Delay)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-r.Context().Done():
			return
		}
	}
	writePlatformAnswer(w, effect.Answer)
}
