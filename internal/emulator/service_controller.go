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
	// Delay is the time that a call takes.
	Delay time.Duration
}

// ServiceFault is a fault of the answers to calls.
type ServiceFault string

// The faults of calls.
const (
	// ServiceSilentBefore stops delivering data on the connection for good, before
	// the call runs.
	ServiceSilentBefore ServiceFault = "SilentBefore"
	// ServiceSilentAfter does the same after the call ran.
	ServiceSilentAfter ServiceFault = "SilentAfter"
	// ServiceCutBefore closes the connection before the call runs.
	ServiceCutBefore ServiceFault = "CutBefore"
	// ServiceCutAfter closes the connection after the call ran.
	ServiceCutAfter ServiceFault = "CutAfter"
	// ServiceCutInBody closes the connection in the middle of the answer's body.
	ServiceCutInBody ServiceFault = "CutInBody"
	// ServiceNotRun refuses with the statement that the call did not run.
	ServiceNotRun ServiceFault = "NotRun"
)

// ServiceFaults are the faults of a service, set by PUT /faults.
type ServiceFaults struct {
	// Call is the fault of calls, empty for none.
	Call ServiceFault
	// Calls is the number of calls that have the fault; 0 means all.
	Calls int
	// Delay is added to the time of a call, in Go's format.
	Delay string
	// Leaving refuses all calls as not run.
	Leaving bool
	// SilenceOpen makes the connections that are open when it is set by PUT
	// /faults silent for good. EndpointServer.SilenceOpen does the same.
	SilenceOpen bool
	// Die closes the listener and every connection.
	Die bool
}

// ServiceMessage is an input of a service's controller.
type ServiceMessage interface{ isServiceMessage() }

// ServiceCall asks to run a call. It is answered by ServicePlan.
type ServiceCall struct {
	Call runner.Call
	// Key is the Idempotency-Key, or empty.
	Key string
	// Request names the call: method, a space and the path.
	Request string
}

// ServiceGetExecutions asks how often calls ran, answered by
// ServiceExecutions.
type ServiceGetExecutions struct{ Call runner.Call }

// ServiceSetFaults replaces the faults. It is answered by ServiceCurrentFaults.
type ServiceSetFaults struct {
	Call   runner.Call
	Faults ServiceFaults
}

// ServiceGetFaults asks for the faults in force, answered by
// ServiceCurrentFaults.
type ServiceGetFaults struct{ Call runner.Call }

// ServiceTick is never due: the controller has no wake times.
type ServiceTick struct{}

func (ServiceCall) isServiceMessage()          {}
func (ServiceGetExecutions) isServiceMessage() {}
func (ServiceSetFaults) isServiceMessage()     {}
func (ServiceGetFaults) isServiceMessage()     {}
func (ServiceTick) isServiceMessage()          {}

// ServiceEffect is an output of a service's controller.
type ServiceEffect interface{ isServiceEffect() }

// ServicePlan says how a call goes.
type ServicePlan struct {
	Call  runner.Call
	Fault ServiceFault
	// Executions is how often calls with the same key ran, with this one; 0
	// if it does not run or has no key.
	Executions int
	Delay      time.Duration
}

// ServiceExecutions answers ServiceGetExecutions.
type ServiceExecutions struct {
	Call runner.Call
	// Keys counts the calls that ran by Idempotency-Key.
	Keys map[string]int
	// Requests counts the calls that ran by method and path.
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

// ServiceController decides what an emulated service does.
type ServiceController struct {
	Settings ServiceSettings
	Faults   ServiceFaults
	Keys     map[string]int
	Requests map[string]int
}

// NewServiceController returns the controller of a service.
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

// delay adds the fault's delay, which the handler has checked.
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
