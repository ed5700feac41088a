// Package tracker knows which instances are alive and how loaded they are.
//
// The platform's instance list lags, so the package joins it with the nodes'
// own evidence: refused and silent connections, load reports, and leaving
// marks. It also decides which addresses callers are told to use.
package tracker
