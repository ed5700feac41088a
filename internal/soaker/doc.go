// Package soaker injects random faults into real node processes.
//
// Its tests start nodes as separate processes on loopback addresses, with an
// emulated platform store and emulated replicas behind proxies, and check the
// results that callers and replicas observe. All random choices come from a
// seed, so that a failed run can be repeated:
//
//	go test ./internal/soaker -run TestSoak -soak.seeds 7 -soak.for 20s -v
package soaker
