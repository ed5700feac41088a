package emulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Service is an emulated plain service. It serves /executions, /faults and /seen,
// and echoes calls of all other paths as JSON.
type Service struct {
	clock      clockwork.Clock
	task       *runner.Task[ServiceMessage, ServiceEffect]
	mux        *http.ServeMux
	requestLog endpointLog
	died       chan struct{}
	die        func()
}

const (
	// serviceInbox is the capacity of the inbox of a service's controller.
	serviceInbox = 4096
	// maxServiceBody is the largest request body, in bytes.
	maxServiceBody = 8 << 20
)

// NewService returns a running service and a function that stops it. The error
// wraps ErrEndpointSettings if settings are invalid.
func NewService(settings ServiceSettings, clock clockwork.Clock) (*Service, func(), error) {
	if settings.Delay < 0 {
		return nil, nil, merry.Wrap(ErrEndpointSettings, merry.AppendMessagef("Delay is %s; it must not be negative", settings.Delay))
	}
	service := &Service{clock: clock, mux: http.NewServeMux(), died: make(chan struct{})}
	service.die = sync.OnceFunc(func() { close(service.died) })
	service.task = runner.New(runner.Settings[ServiceMessage, ServiceEffect]{
		Name:       "service " + settings.Name,
		Clock:      clock,
		Controller: NewServiceController(settings),
		Tick:       ServiceTick{},
		Perform:    performService,
		InboxSize:  serviceInbox,
	})
	service.registerRoutes()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = service.task.Run(ctx)
	}()
	return service, func() { cancel(); <-ended }, nil
}

func performService(handle runner.Handle[ServiceMessage], effect ServiceEffect) {
	switch effect := effect.(type) {
	case ServicePlan:
		handle.Reply(effect.Call, effect)
	case ServiceExecutions:
		handle.Reply(effect.Call, effect)
	case ServiceCurrentFaults:
		handle.Reply(effect.Call, effect.Faults)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requestLog.add(r)
	s.mux.ServeHTTP(w, r)
}

// Died implements EndpointHandler.
func (s *Service) Died() <-chan struct{} { return s.died }

// ReceivedRequests returns the latest requests, oldest first.
func (s *Service) ReceivedRequests() []EndpointRequest { return s.requestLog.all() }

// Executions returns the numbers of executed calls.
func (s *Service) Executions(ctx context.Context) (ServiceExecutions, error) {
	return queryService[ServiceExecutions](ctx, s, func(call runner.Call) ServiceMessage {
		return ServiceGetExecutions{Call: call}
	})
}

// SetFaults replaces the service's faults. The error wraps ErrEndpointSettings if
// Delay is not a duration.
func (s *Service) SetFaults(ctx context.Context, faults ServiceFaults) error {
	if faults.Delay != "" {
		if _, err := time.ParseDuration(faults.Delay); err != nil {
			return merry.Wrap(ErrEndpointSettings, merry.AppendMessagef("Delay: %v", err))
		}
	}
	_, err := queryService[ServiceFaults](ctx, s, func(call runner.Call) ServiceMessage {
		return ServiceSetFaults{Call: call, Faults: faults}
	})
	if err == nil && faults.Die {
		s.die()
	}
	return err
}

// Leave makes the service refuse new calls.
func (s *Service) Leave(ctx context.Context) error {
	faults, err := s.faults(ctx)
	if err != nil {
		return err
	}
	faults.Leaving = true
	return s.SetFaults(ctx, faults)
}

func (s *Service) faults(ctx context.Context) (ServiceFaults, error) {
	return queryService[ServiceFaults](ctx, s, func(call runner.Call) ServiceMessage { return ServiceGetFaults{Call: call} })
}

func queryService[A any](ctx context.Context, s *Service, build func(runner.Call) ServiceMessage) (A, error) {
	return runner.Ask[A](ctx, s.task, build, nil)
}

func (s *Service) registerRoutes() {
	s.mux.HandleFunc("/", s.call)
	s.mux.HandleFunc("GET /executions", func(w http.ResponseWriter, r *http.Request) {
		counts, err := s.Executions(r.Context())
		writeEndpointAnswer(w, counts, err, func(counts ServiceExecutions) {
			writeEndpointJSON(w, http.StatusOK, executionsWire{Keys: counts.Keys, Requests: counts.Requests})
		})
	})
	s.mux.HandleFunc("GET /faults", func(w http.ResponseWriter, r *http.Request) {
		faults, err := s.faults(r.Context())
		writeEndpointAnswer(w, faults, err, func(faults ServiceFaults) { writeEndpointJSON(w, http.StatusOK, faults) })
	})
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) {
		writeEndpointJSON(w, http.StatusOK, s.ReceivedRequests())
	})
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := encoder.DecodeFrom[ServiceFaults](r.Body, maxServiceBody)
	if err == nil {
		err = s.SetFaults(r.Context(), faults)
	}
	if err != nil {
		writeEndpointJSON(w, http.StatusBadRequest, endpointRefusalWire{Error: err.Error()})
		return
	}
	if faults.SilenceOpen {
		silenceOtherConnections(r)
	}
	writeEndpointJSON(w, http.StatusOK, faults)
}
