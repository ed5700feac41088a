// Package tracker tracks which instances are alive and how loaded they are.
//
// The platform's instance list lags behind the actual state, so the package
// combines it with what the nodes observe themselves: refused and unresponsive
// connections, load reports, and reports that an endpoint is leaving. It also
// selects the addresses that are returned to callers.
package tracker
