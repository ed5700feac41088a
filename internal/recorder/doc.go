// Package recorder keeps the intents and outcomes of non-idempotent calls.
//
// Before such a call is sent, its intent is written to the object API, so that
// no node sends it again, whatever crashes and whichever node a repeat comes
// to. Intents that come in together share one write.
package recorder
