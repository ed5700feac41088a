package emulator

import (
	"maps"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// ServiceSettings describes an emulated plain service.
type ServiceSettings struct {
	Name string
	// Service is the name of the service that the instance belongs to.
	Service string
	// Delay is the duration of a call.
	Delay time.Duration
}

// ServiceFault is a fault that is injected into calls.
type ServiceFault string

// The faults of calls.
const (
	// ServiceSilentBefore permanently stops delivering data on the connection
	// before the call is executed.
	ServiceSilentBefore ServiceFault = "SilentBefore"
	// ServiceSilentAfter does the same after the call was executed.
	ServiceSilentAfter ServiceFault = "SilentAfter"
	// ServiceCutBefore closes the connection before the call is executed.
	ServiceCutBefore ServiceFault = "CutBefore"
	// ServiceCutAfter closes the connection after the call was executed.
	ServiceCutAfter ServiceFault = "CutAfter"
	// ServiceCutInBody closes the connection in the middle of the answer's body.
	ServiceCutInBody ServiceFault = "CutInBody"
	// ServiceNotRun refuses the call with a header that reports that it was not
	// executed.
	ServiceNotRun ServiceFault = "NotRun"
)

// ServiceFaults are the faults of a service, set by PUT /faults.
type ServiceFaults struct {
	// Call is the fault injected into calls; empty for none.
	Call ServiceFault
	// Calls is the number of calls that get the fault; 0 means all.
	Calls int
	// Delay is added to the duration of a call, in the format of
	// time.ParseDuration.
	Delay string
	// Leaving refuses all calls as not executed.
	Leaving bool
	// SilenceOpen permanently stops delivering data on the connections that are
	// open when PUT /faults sets it, except the one of that request.
	// EndpointServer.SilenceOpen does the same to all open connections.
	SilenceOpen bool
	// Die closes the listener and every connection.
	Die bool
}

// ServiceMessage is an input of a service's controller.
type ServiceMessage interface{ isServiceMessage() }

// ServiceCall submits a call. It is answered by ServicePlan.
type ServiceCall struct {
	Call runner.Call
	// Key is the call's Idempotency-Key, or empty.
	Key string
	// Request is the method and the path, separated by a space.
	Request string
}

// ServiceGetExecutions requests the numbers of executed calls. It is answered by
// ServiceExecutions.
type ServiceGetExecutions struct{ Call runner.Call }

// ServiceSetFaults replaces the faults. It is answered by ServiceCurrentFaults.
type ServiceSetFaults struct {
	Call   runner.Call
	Faults ServiceFaults
}

// ServiceGetFaults requests the current faults. It is answered by
// ServiceCurrentFaults.
type ServiceGetFaults struct{ Call runner.Call }

// ServiceTick is the tick message that the task requires. It is never delivered,
// because the controller has no wake times.
type ServiceTick struct{}

func (ServiceCall) isServiceMessage()          {}
func (ServiceGetExecutions) isServiceMessage() {}
func (ServiceSetFaults) isServiceMessage()     {}
func (ServiceGetFaults) isServiceMessage()     {}
func (ServiceTick) isServiceMessage()          {}

// ServiceEffect is an output of a service's controller.
type ServiceEffect interface{ isServiceEffect() }

// ServicePlan describes how the handler has to answer a call.
type ServicePlan struct {
	Call  runner.Call
	Fault ServiceFault
	// Executions is the number of executions of calls with the same key,
	// including this one; 0 if the call is not executed or has no key.
	Executions int
	Delay      time.Duration
}

// ServiceExecutions answers ServiceGetExecutions.
type ServiceExecutions struct {
	Call runner.Call
	// Keys is the number of executed calls by Idempotency-Key.
	Keys map[string]int
	// Requests is the number of executed calls by method and path.
	Requests map[string]int
}

// ServiceCurrentFaults answers ServiceGetFaults and ServiceSetFaults.
type ServiceCurrentFaults struct {
	Call   runner.Call
	Faults ServiceFaults
}

func (ServicePlan) isServiceEffect()          {}
func (ServiceExecutions) isServiceEffect()    {}
func (ServiceCurrentFaults) isServiceEffect() {}

// ServiceController is the state machine of an emulated service.
type ServiceController struct {
	Settings ServiceSettings
	Faults   ServiceFaults
	Keys     map[string]int
	Requests map[string]int
}

// NewServiceController returns a controller without faults and executed calls.
func NewServiceController(settings ServiceSettings) *ServiceController {
	return &ServiceController{Settings: settings, Keys: map[string]int{}, Requests: map[string]int{}}
}

// Wake implements runner.Controller.
func (*ServiceController) Wake() time.Time { return time.Time{} }

// Step implements runner.Controller.
func (s *ServiceController) Step(_ time.Time, message ServiceMessage) []ServiceEffect {
	switch message := message.(type) {
	case ServiceCall:
		return []ServiceEffect{s.call(message)}
	case ServiceGetExecutions:
		return []ServiceEffect{s.executions(message.Call)}
	case ServiceSetFaults:
		s.Faults = message.Faults
		return []ServiceEffect{ServiceCurrentFaults{Call: message.Call, Faults: s.Faults}}
	case ServiceGetFaults:
		return []ServiceEffect{ServiceCurrentFaults{Call: message.Call, Faults: s.Faults}}
	default:
		return nil
	}
}

func (s *ServiceController) call(message ServiceCall) ServicePlan {
	plan := ServicePlan{Call: message.Call, Fault: s.nextFault(), Delay: s.totalDelay()}
	switch plan.Fault {
	case ServiceNotRun, ServiceSilentBefore, ServiceCutBefore:
		return plan
	}
	s.Requests[message.Request]++
	if message.Key != "" {
		s.Keys[message.Key]++
		plan.Executions = s.Keys[message.Key]
	}
	return plan
}

func (s *ServiceController) nextFault() ServiceFault {
	if s.Faults.Leaving {
		return ServiceNotRun
	}
	fault := s.Faults.Call
	if s.Faults.Calls > 0 {
		s.Faults.Calls--
		if s.Faults.Calls == 0 {
			s.Faults.Call = ""
		}
	}
	return fault
}

// totalDelay returns the duration of a call including the fault's delay, which
// Service.SetFaults has validated.
func (s *ServiceController) totalDelay() time.Duration {
	extra, err := time.ParseDuration(s.Faults.Delay)
	if err != nil {
		return s.Settings.Delay
	}
	return s.Settings.Delay + extra
}

func (s *ServiceController) executions(call runner.Call) ServiceExecutions {
	return ServiceExecutions{Call: call, Keys: maps.Clone(s.Keys), Requests: maps.Clone(s.Requests)}
}
