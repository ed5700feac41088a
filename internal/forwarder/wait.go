package forwarder

import "time"

// The resources for which requests wait.
const (
	waitForReplica = "replica"
	waitForQuota   = "quota"
)

// Wait is the end of a request's wait for a replica or for quota. Requests that are served or
// refused at once have a Duration of 0.
type Wait struct {
	// For is "replica" or "quota".
	For  string
	Rank int
	// Refused is set if the request did not get what it waited for.
	Refused  bool
	Duration time.Duration
}
