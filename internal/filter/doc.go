// Package filter is the chain that every request passes.
//
// Each filter makes one decision about a request: it accepts, refuses with a
// typed refusal, or passes the request on. The chain keeps the order of the
// decisions in one place, and undoes what the filters took, such as tokens
// and slots, in reverse order when the request ends.
package filter
