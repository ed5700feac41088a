package screener

import (
	"slices"
	"time"
)

// Report is what a node knows about requests. Ages are as of the report.
type Report struct {
	// Breaks are the attempts that broke off recently.
	Breaks []Break `json:",omitempty"`
	// AnswersByService counts the answers that have begun since the node started.
	AnswersByService map[string]uint64 `json:",omitempty"`
	// Begun are the suspects with which an answer has begun.
	Begun []Begun `json:",omitempty"`
	// Running are replicas that answered a request which was sent after they had broken
	// off others.
	Running []Running `json:",omitempty"`
	// Quarantines are those that the holder has not published, because it started
	// after they were found.
	Quarantines []Quarantine `json:",omitempty"`
}

// Break is an attempt that its replica broke off before the first event of the
// answer.
type Break struct {
	// Request is the caller's ID of the request. Fingerprint is the same for all its
	// repetitions.
	Request     string
	Fingerprint string `json:",omitempty"`
	Service     string `json:",omitempty"`
	// Replica is the zero value if the break is known from the platform's store: it was before
	// all processes of the system ended.
	Replica Process
	// Parts are the shared parts of the prompt in order.
	Parts []string
	// HeadReceived is set if the replica had begun to answer: it had sent the head.
	HeadReceived bool `json:"Head,omitempty"`
	// SentAge and Age are the times since the attempt was sent and broke off.
	SentAge, Age time.Duration
}

// traits returns what the request may have in common with others: the parts of its
// prompt, and at last the whole request.
func (b Break) traits() []Trait { return appendTrait(b.Parts, b.Fingerprint) }

func appendTrait(parts []string, fingerprint string) []Trait {
	if fingerprint == "" {
		return parts
	}
	return append(slices.Clip(parts), RequestTrait(fingerprint))
}

// Process is one run of a replica.
type Process struct {
	ID        string
	StartedMS int64
}

// Begun is an answer to a request with a suspect trait that has begun.
type Begun struct {
	Trait Trait `json:"Part"`
	Age   time.Duration
}

// Running is a replica that was running at a time.
type Running struct {
	Replica Process
	Age     time.Duration
}

// Quarantine is a trait of requests that crash replicas.
type Quarantine struct {
	Trait Trait `json:"Part"`
	// Remaining is the time until requests with the trait are tried again.
	Remaining time.Duration
}

// Published is what the holder publishes about requests that crash replicas.
type Published struct {
	// Suspects are the traits about which nodes report in Report.Begun.
	Suspects    []Trait      `json:",omitempty"`
	Quarantines []Quarantine `json:",omitempty"`
	// Held are the suspects that are refused while they are published here.
	Held []Hold `json:",omitempty"`
}

// Hold is a suspect that is refused until more is known. Prober is the node that may send
// one request at a time to find out, or "".
type Hold struct {
	Trait  Trait
	Prober string `json:",omitempty"`
}
