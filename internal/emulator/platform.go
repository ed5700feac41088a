package emulator

import (
	"context"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
)

const (
	// platformInbox is the capacity of the controller's inbox. It exceeds the
	// number of concurrent calls that tests make.
	platformInbox = 8192
	// maxPlatformBody is the largest request body in bytes. It leaves room for
	// the JSON around a value of the maximum size; the controller checks the
	// size of the value.
	maxPlatformBody = 2 * storer.MaxValueBytes
	// maxWatchWait is the longest wait of a watch; longer waits are shortened.
	maxWatchWait = time.Minute
)

var objectNamePattern = regexp.MustCompile(`^[A-Za-z0-9._@-]{1,200}$`)

// Platform is the HTTP front end of a platform stand-in.
type Platform struct {
	clock clockwork.Clock
	task  *runner.Task[PlatformMessage, AnswerPlatformCall]
	mux   *http.ServeMux
}

// NewPlatform starts a platform stand-in and returns a function that stops it.
// Calls that are pending when it stops fail. The error wraps ErrPlatformSettings
// if settings are invalid.
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
			handle.Reply(effect.Call, effect)
		},
		InboxSize: platformInbox,
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
		"PUT /copy":                       decodeCopy,
		"PUT /restoration":                decodeRestore,
		"GET /calls":                      decodeGetCalls,
	}
	for pattern, decode := range routes {
		p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { p.handle(w, r, decode) })
	}
}

// ServeHTTP implements http.Handler for the platform's protocol.
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
	case err != nil: // the outcome is unknown: the call may have taken effect
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
	w.Header().Set("Object-Era", strconv.FormatUint(effect.Era, 10))
	writePlatformAnswer(w, effect.Answer)
}
