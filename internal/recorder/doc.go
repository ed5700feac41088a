// Package recorder stores the intents and outcomes of non-idempotent calls.
//
// Before such a call is sent, its intent is written to the object API, so that
// no node sends the call again, even if nodes crash and a retry arrives at
// another node. Intents that arrive at the same time share one write.
package recorder
