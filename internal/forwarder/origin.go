package forwarder

import (
	"cmp"
	"context"
	"slices"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/resumer"
)

// isResumable reports whether another replica may go on with the answer.
func (j *job) isResumable() bool { return isResumable(j.forward.Route) }

func isResumable(route resolver.Route) bool {
	return route.Kind == resolver.Streaming && route.Resumable
}

// streamID returns what identifies the stream over all requests of the caller for it.
func (j *job) streamID() string { return streamID(j.forward) }

func streamID(forward *filter.Forward) string { return cmp.Or(forward.Resumes, forward.Attempt) }

// streamKey returns the key by which a stream is assigned to a software version. All requests
// for a stream have the same one, and those of a session, of which replicas keep prompts, too.
func streamKey(forward *filter.Forward) string {
	if count := len(forward.PromptParts); count > len(forward.SharedParts) {
		return forward.PromptParts[count-1].ID
	}
	return streamID(forward)
}

// findOrigin finds the origin of a stream that the caller takes up again. It returns a
// refusal if the rest cannot come from there.
func (j *job) findOrigin(ctx context.Context) filter.Verdict {
	if j.forward.LastEventID == "" || !j.isResumable() {
		return nil
	}
	services := j.services()
	found, err := j.Streams.Find(ctx, resumer.Find{
		Stream:   j.forward.Resumes,
		Services: services,
		Model:    j.forward.Model,
		Adapter:  j.forward.Adapter,
		Key:      streamKey(j.forward),
	})
	switch {
	case err != nil:
		return j.end(filter.Overloaded, err.Error())
	case !found.Known && found.Unreachable:
		return j.end(filter.OriginUnknown, "the version that began the stream is not known yet: "+found.Why)
	case !found.Known:
		return j.endAndRetryAfter(filter.OriginUnknown, "the version that began the stream is not known: "+found.Why, 0)
	case !slices.Contains(services, found.Origin.Service):
		return j.endAndRetryAfter(filter.OriginUnknown, "the route does not lead to the service that began the stream any more", 0)
	}
	j.forward.Service, j.origin = found.Origin.Service, &found.Origin
	return nil
}

// recordOrigin records where the stream began when this request passes on its first event
// of it.
func (j *job) recordOrigin() {
	if !j.isResumable() || j.originRecorded {
		return
	}
	j.originRecorded = true
	if j.origin == nil {
		j.origin = &resumer.Origin{Service: j.forward.Service, Version: j.version}
	}
	j.Streams.RecordBegun(resumer.StreamBegun{Stream: j.streamID(), Origin: *j.origin, Split: len(j.services()) > 1})
}

// services returns the services to which the route may lead.
func (j *job) services() []string {
	var services []string
	for _, target := range j.forward.Route.Targets {
		if target.Weight > 0 && !slices.Contains(services, target.Service) {
			services = append(services, target.Service)
		}
	}
	return services
}
