package filter

import (
	"context"
	"fmt"

	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// View provides the configuration in force at a node.
type View interface {
	// Configuration returns the configuration in force, never nil.
	Configuration() *releaser.Configuration
	// Changed returns a channel that is closed when the configuration that
	// Configuration returned before this call may have been replaced.
	Changed() <-chan struct{}
	// Current reports whether the node can prove that its configuration is up
	// to date.
	Current() bool
}

// Resolve looks up the model, adapter or route that a request names.
type Resolve struct {
	View View
}

// Filter implements the Filter interface.
func (f Resolve) Filter(_ context.Context, request *Request) Verdict {
	request.Configuration = f.View.Configuration()
	switch work := request.Work.(type) {
	case Generation:
		return resolveModel(request, work)
	case Call:
		return resolveRoute(request, work)
	default:
		panic(fmt.Sprintf("unknown work %T", work))
	}
}

func resolveModel(request *Request, work Generation) Verdict {
	target, err := request.Configuration.Resolve(work.Model)
	if err != nil {
		return refuse(UnknownModel, "model %q is not served; GET /v1/models lists those that are", work.Model)
	}
	request.Target = target
	return Pass{}
}

func resolveRoute(request *Request, work Call) Verdict {
	if _, ok := request.Configuration.Services[work.Service]; !ok {
		return refuse(UnknownService, "service %q is not served", work.Service)
	}
	route, err := request.Configuration.Route(work.Service, work.Method, work.Path)
	if err != nil {
		return refuse(UnknownRoute, "service %q has no route for %s %s", work.Service, work.Method, work.Path)
	}
	if !route.Idempotent && !request.IdentityGiven {
		return refuse(MissingIdentity, "%s %s may run only once; send an Idempotency-Key header", work.Method, work.Path)
	}
	request.Route = route
	return Pass{}
}

// isPublic reports whether the request may run without a key.
func (r *Request) isPublic() bool {
	if _, ok := r.Work.(Generation); ok {
		return r.Target.Model.Open
	}
	return r.Route.Open
}
