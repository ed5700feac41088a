package caller

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// DirectoryMessage is an input of a Directory.
type DirectoryMessage interface{ isDirectoryMessage() }

// FindAddress requests an address. The reply is an AddressReply.
type FindAddress struct {
	Call runner.Call
	// Avoid lists the addresses at which this request has failed.
	Avoid []string
	// Retry reports whether this is a retry, which is charged to the retry
	// budget.
	Retry bool
}

// CancelFindAddress reports that the caller no longer waits for the reply to
// its FindAddress.
type CancelFindAddress struct{ Call runner.Call }

// AddressesFound reports the addresses that a node returned, best first.
type AddressesFound struct {
	Addresses []string
	// CacheFor is the time for which the addresses may be used.
	CacheFor time.Duration
}

// NodeFailed reports that a node did not respond to a query for addresses.
type NodeFailed struct{ Node string }

// AddressFailed reports that a request at an address failed.
type AddressFailed struct{ Address string }

// DirectoryTick is the tick message that the task requires. It is never
// delivered, because the controller has no wake times.
type DirectoryTick struct{}

func (FindAddress) isDirectoryMessage()       {}
func (CancelFindAddress) isDirectoryMessage() {}
func (AddressesFound) isDirectoryMessage()    {}
func (NodeFailed) isDirectoryMessage()        {}
func (AddressFailed) isDirectoryMessage()     {}
func (DirectoryTick) isDirectoryMessage()     {}

// DirectoryEffect is an output of a Directory.
type DirectoryEffect interface{ isDirectoryEffect() }

// QueryNode queries a node for addresses.
type QueryNode struct{ Node string }

// AddressReply is the reply to FindAddress.
type AddressReply struct {
	Call runner.Call
	// Address is empty if no node responded.
	Address string
	// RetryDenied reports that the budget allows no retry.
	RetryDenied bool
}

func (QueryNode) isDirectoryEffect()    {}
func (AddressReply) isDirectoryEffect() {}

const (
	// retryCost is the number of first attempts that earn one retry.
	retryCost = 10
	// maxRetryBalance bounds the retries that a period without failures
	// accumulates for a later one with failures.
	maxRetryBalance = 10 * retryCost
	// initialRetryBalance allows a new client a few retries.
	initialRetryBalance = 3 * retryCost
)

// Directory decides which address a request uses and whether it may be
// retried.
type Directory struct {
	// Nodes are the known addresses of nodes; NextNode is the index of the one
	// to query next.
	Nodes    []string
	NextNode int
	// Addresses is the last result of a query, best first, without the
	// addresses that have failed since.
	Addresses []string
	// ExpiresAt is the end of the lifetime of Addresses.
	ExpiresAt time.Time
	// Querying reports whether a query is in progress; FailedNodes counts the
	// nodes that failed since the last successful query.
	Querying    bool
	FailedNodes int
	// Waiting are the requests that wait for the query to end.
	Waiting []FindAddress
	// RetryBalance pays for retries: each first attempt adds 1, and each retry
	// costs retryCost.
	RetryBalance int
}

// NewDirectory returns a directory of nodes that queries the node at index
// first before the others. Clients pass different indexes, so that they do not
// all query the same node.
func NewDirectory(nodes []string, first int) *Directory {
	return &Directory{Nodes: nodes, NextNode: first % len(nodes), RetryBalance: initialRetryBalance}
}

// Wake implements runner.Controller.
func (*Directory) Wake() time.Time { return time.Time{} }

// Step implements runner.Controller.
func (d *Directory) Step(now time.Time, message DirectoryMessage) []DirectoryEffect {
	switch message := message.(type) {
	case FindAddress:
		return d.findAddress(now, message)
	case CancelFindAddress:
		d.Waiting = slices.DeleteFunc(d.Waiting, func(pending FindAddress) bool { return pending.Call == message.Call })
		return nil
	case AddressesFound:
		d.Querying, d.FailedNodes = false, 0
		d.Addresses, d.ExpiresAt = message.Addresses, now.Add(message.CacheFor)
		return d.replyAll()
	case NodeFailed:
		return d.nodeFailed()
	case AddressFailed:
		d.Addresses = slices.DeleteFunc(slices.Clone(d.Addresses), func(address string) bool { return address == message.Address })
		return nil
	default:
		return nil
	}
}

func (d *Directory) findAddress(now time.Time, request FindAddress) []DirectoryEffect {
	if request.Retry && d.RetryBalance < retryCost {
		return []DirectoryEffect{AddressReply{Call: request.Call, RetryDenied: true}}
	}
	if request.Retry {
		d.RetryBalance -= retryCost
	} else {
		d.RetryBalance = min(d.RetryBalance+1, maxRetryBalance)
	}
	if address := d.chooseAddress(request.Avoid); address != "" && now.Before(d.ExpiresAt) {
		return []DirectoryEffect{AddressReply{Call: request.Call, Address: address}}
	}
	d.Waiting = append(d.Waiting, request)
	if d.Querying {
		return nil
	}
	return d.queryNextNode()
}

// chooseAddress returns the best address that is not in avoid, or "".
func (d *Directory) chooseAddress(avoid []string) string {
	for _, address := range d.Addresses {
		if !slices.Contains(avoid, address) {
			return address
		}
	}
	return ""
}

func (d *Directory) queryNextNode() []DirectoryEffect {
	d.Querying = true
	return []DirectoryEffect{QueryNode{Node: d.Nodes[d.NextNode]}}
}

// nodeFailed queries the next node. If all nodes have failed, it replies with
// the last known addresses, however old they are: they may still work.
func (d *Directory) nodeFailed() []DirectoryEffect {
	d.FailedNodes++
	d.NextNode = (d.NextNode + 1) % len(d.Nodes)
	if d.FailedNodes < len(d.Nodes) {
		return d.queryNextNode()
	}
	d.Querying, d.FailedNodes = false, 0
	return d.replyAll()
}

// replyAll replies to all waiting requests. A request for which every address
// is to be avoided gets the best one again.
func (d *Directory) replyAll() []DirectoryEffect {
	var effects []DirectoryEffect
	for _, request := range d.Waiting {
		address := d.chooseAddress(request.Avoid)
		if address == "" {
			address = d.chooseAddress(nil)
		}
		effects = append(effects, AddressReply{Call: request.Call, Address: address})
	}
	d.Waiting = nil
	return effects
}
