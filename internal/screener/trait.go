package screener

import "strings"

// Trait is what requests have in common: the ID of a part of their prompt, or the whole
// request with requestPrefix.
type Trait = string

// requestPrefix begins the traits of whole requests. IDs of parts contain no colon.
const requestPrefix = "request:"

// RequestTrait returns the trait of all repetitions of a request.
func RequestTrait(fingerprint string) Trait { return requestPrefix + fingerprint }

// RequestFingerprint returns the fingerprint in the trait of a whole request, and false
// for a part of a prompt.
func RequestFingerprint(trait Trait) (string, bool) { return strings.CutPrefix(trait, requestPrefix) }

func isRequestTrait(trait Trait) bool { return strings.HasPrefix(trait, requestPrefix) }

// Subject is a request that is screened.
type Subject struct {
	Service string
	// Parts are the shared parts of the prompt in order.
	Parts []string
	// Fingerprint returns what is the same for all repetitions of the request. It is called
	// only while a whole request is suspect or quarantined, because it reads the body.
	Fingerprint func() string
}
