// Package archiver keeps records about requests that crash replicas in the platform's store.
//
// Quarantines are known to processes, and all processes may lose power at the same time. The
// node that finds the quarantines therefore writes a record of each to the store when it
// begins, and removes it when it ends, so that nothing is called while nothing crashes. Every
// node reads the records once, at its start, and forwards no request before: a request that
// crashes replicas may come in the first moment.
package archiver
