// Package filter implements the chain of filters that every request passes
// through.
//
// Each filter makes one decision about a request: it accepts the request,
// refuses it with a typed refusal, or passes it to the next filter. The chain
// defines the order of the decisions in one place. When a request ends, it
// releases what the filters allocated, such as tokens and slots, in reverse
// order.
package filter
