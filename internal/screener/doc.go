// Package screener finds requests that crash replicas and keeps them away from the
// replicas.
//
// What such requests have in common is a trait: a part of their prompt, or the whole
// request if it is one that comes again. Each node records the attempts that a replica
// broke off before the first event of the answer, and reports them to the holder of the
// placement lease. A replica that crashes breaks off all its attempts, most of which are
// sound, so the holder compares: a trait is quarantined if requests with it broke off one
// after the other on several replicas and no answer to a request with it has begun in the
// meantime. The holder publishes the quarantines to all nodes, which refuse such requests.
package screener
