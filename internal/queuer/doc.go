// Package queuer orders requests that wait for a scarce resource.
//
// The scheduler, the balancer and the rationer have waiting requests in front of
// slots, replicas and quota. They share one fair queue, so that rank, workspace and
// deadline have the same meaning on every path.
package queuer
