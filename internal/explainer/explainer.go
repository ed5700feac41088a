package explainer

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/forwarder"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

// Sources are the tasks that decide.
type Sources struct {
	Choose  func(ctx context.Context, need balancer.Need) (balancer.Explanation, error)
	Inspect func(ctx context.Context, workspace resolver.Workspace, units float64) (rationer.Inspection, error)
	Load    func(ctx context.Context, demand planner.Demand) (Load, error)
	// Regions holds the regions of data centres, and MaxTime the time of a request whose
	// route states none.
	Regions map[string]string
	MaxTime time.Duration
}

// Explain answers a question with a configuration, which is nil if it is not known, as of now.
// Node, ages, Draining and KeysNotCurrent are left to the caller. The errors are ErrInvalid,
// ErrUnknown, ErrNotReady and those of the tasks.
func (s Sources) Explain(ctx context.Context, now time.Time, configuration *resolver.Configuration, question Question) (Answer, error) {
	if err := question.Check(); err != nil {
		return Answer{}, err
	}
	if configuration == nil {
		return Answer{}, ErrNotReady
	}
	forward := &filter.Forward{
		Model: question.Model, Adapter: question.Adapter,
		PromptTokens: question.PromptTokens, OutputTokens: question.OutputTokens, ExpectedOutputTokens: question.OutputTokens,
	}
	forward.PromptParts, forward.SharedParts = question.promptParts()
	var err error
	if forward.Route, err = findRoute(configuration, question); err != nil {
		return Answer{}, err
	}
	if forward.Workspace, err = findWorkspace(configuration, forward.Route, question.Workspace); err != nil {
		return Answer{}, err
	}
	targets, err := findTargets(configuration, forward.Route, question.Model)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{
		Route: forward.Route.Name, Public: forward.Route.Public, Workspace: forward.Workspace.Name, Rank: forward.Rank(),
		ConfigurationVersion: configuration.Version,
	}
	units := forward.Workspace.Cost(question.PromptTokens + question.OutputTokens)
	if answer.Quota, err = s.Inspect(ctx, forward.Workspace, units); err != nil {
		return Answer{}, err
	}
	forward.DataCentres, answer.NoRegion = forwarder.AllowedDataCentres(forward.Route, forward.Workspace, s.Regions)
	if answer.DataCentres = forward.DataCentres; answer.NoRegion != "" {
		return answer, nil
	}
	for _, target := range targets {
		forward.Service = target.Name
		if target.Choice, target.Load, err = s.explainTarget(ctx, now, forward); err != nil {
			return Answer{}, err
		}
		answer.Services = append(answer.Services, target)
	}
	return answer, nil
}

func (s Sources) explainTarget(ctx context.Context, now time.Time, forward *filter.Forward) (balancer.Explanation, *Load, error) {
	left := s.MaxTime
	if timeout := forward.Route.Timeout; timeout > 0 {
		left = min(left, timeout)
	}
	need := forwarder.FirstNeed(forward, forward.Workspace.Name, now, left)
	choice, err := s.Choose(ctx, need)
	if err != nil || need.Model == "" || choice.Loaded {
		return choice, nil, err
	}
	load, err := s.Load(ctx, planner.Demand{Service: need.Service, Model: need.Model, Adapter: need.Adapter, DataCentres: need.DataCentres})
	return choice, &load, err
}

func unknown(format string, arguments ...any) error {
	return merry.Wrap(ErrUnknown, merry.AppendMessagef(format, arguments...))
}

func findRoute(configuration *resolver.Configuration, question Question) (resolver.Route, error) {
	if question.Route == "" {
		if route, ok := configuration.FindRoute(question.Host, question.Path); ok {
			return route, nil
		}
		return resolver.Route{}, unknown("no route for host %q and path %q", question.Host, question.Path)
	}
	index := slices.IndexFunc(configuration.Routes, func(route resolver.Route) bool { return route.Name == question.Route })
	if index < 0 {
		return resolver.Route{}, unknown("route %q", question.Route)
	}
	return configuration.Routes[index], nil
}

// findWorkspace returns the workspace of a request, which is none on public routes.
func findWorkspace(configuration *resolver.Configuration, route resolver.Route, name string) (resolver.Workspace, error) {
	workspace, ok := configuration.Workspaces[name]
	switch {
	case name != "" && !ok:
		return workspace, unknown("workspace %q", name)
	case route.Public:
		return resolver.Workspace{}, nil
	case name == "":
		return workspace, merry.Wrap(ErrInvalid, merry.AppendMessagef("route %q needs a Workspace", route.Name))
	}
	return workspace, nil
}

// findTargets returns the targets of a route that have the model. Without a model, these are
// all targets.
func findTargets(configuration *resolver.Configuration, route resolver.Route, model string) ([]Service, error) {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	var services []Service
	for _, target := range route.Targets {
		engine := configuration.Services[target.Service].Engine
		if model != "" {
			if engine == nil {
				continue
			}
			if _, ok := engine.Models[model]; !ok {
				continue
			}
		}
		services = append(services, Service{Name: target.Service, Share: float64(target.Weight) / float64(max(1, total))})
	}
	switch {
	case len(services) > 0:
		return services, nil
	case model != "":
		return nil, unknown("model %q in the services of route %q", model, route.Name)
	}
	return nil, unknown("route %q has no services", route.Name)
}
