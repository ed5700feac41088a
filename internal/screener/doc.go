// Package screener finds parts of prompts that crash replicas and keeps requests
// with them away from the replicas.
//
// Each node records the attempts that a replica broke off before the first event of
// the answer, and reports them to the holder of the placement lease. A replica that
// crashes breaks off all its attempts, most of which are sound, so the holder
// compares: a part is quarantined if requests with it broke off one after the other
// on several replicas and no answer to a request with it has begun in the meantime.
// The holder publishes the quarantines to all nodes, which refuse such requests.
package screener
