package screener

import "time"

// Report is what a node knows about prompts. Ages are as of the report.
type Report struct {
	// Breaks are the attempts that broke off recently.
	Breaks []Break `json:",omitempty"`
	// Answers counts the answers that have begun since the node started.
	Answers uint64 `json:",omitempty"`
	// Begun are the suspects with which an answer has begun.
	Begun []Begun `json:",omitempty"`
	// Quarantines are those that the holder has not published, because it started
	// after they were found.
	Quarantines []Quarantine `json:",omitempty"`
}

// Break is an attempt that its replica broke off before the first event of the
// answer.
type Break struct {
	// Request is the caller's ID of the request.
	Request string
	Replica Process
	// Parts are the shared parts of the prompt in order.
	Parts []string
	// HeadReceived is set if the replica had begun to answer: it had sent the head.
	HeadReceived bool `json:"Head,omitempty"`
	// SentAge and Age are the times since the attempt was sent and broke off.
	SentAge, Age time.Duration
}

// Process is one run of a replica.
type Process struct {
	ID        string
	StartedMS int64
}

// Begun is an answer to a request with a suspect part that has begun.
type Begun struct {
	Part string
	Age  time.Duration
}

// Quarantine is a part that crashes replicas.
type Quarantine struct {
	Part string
	// Remaining is the time until requests with the part are tried again.
	Remaining time.Duration
}

// Published is what the holder publishes about prompts.
type Published struct {
	// Suspects are the parts about which nodes report in Report.Begun.
	Suspects    []string     `json:",omitempty"`
	Quarantines []Quarantine `json:",omitempty"`
}
