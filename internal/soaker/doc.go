// Package soaker plays randomized faults against real node processes.
//
// Its tests start nodes as separate processes on loopback addresses, with
// stand-ins of the platform's store and of replicas behind proxies, and check
// what callers and replicas see. Everything is drawn from a seed, so that a
// run that failed can be played again:
//
//	go test ./internal/soaker -run TestSoak -soak.seeds 7 -soak.for 20s -v
package soaker
