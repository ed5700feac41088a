package caller

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// DirectoryMessage is an input of a Directory.
type DirectoryMessage interface{ isDirectoryMessage() }

// FindAddress asks for an address. It is answered by UseAddress.
type FindAddress struct {
	Call runner.Call
	// Avoid lists addresses that failed the request.
	Avoid []string
	// Again says that this is a repetition, which needs budget.
	Retry bool
}

// ForgetCall reports that nobody waits for the answer to a call any more.
type CancelFindAddress struct{ Call runner.Call }

// AddressesFound reports a node's answer.
type AddressesFound struct {
	Addresses []string
	// CacheFor is the lifetime of the answer.
	CacheFor time.Duration
}

// NodeFailed reports that a node did not answer.
type NodeFailed struct{ Node string }

// AddressFailed reports that a request at an address failed.
type AddressFailed struct{ Address string }

// DirectoryTick is never due: the controller acts on messages only.
type DirectoryTick struct{}

func (FindAddress) isDirectoryMessage()       {}
func (CancelFindAddress) isDirectoryMessage() {}
func (AddressesFound) isDirectoryMessage()    {}
func (NodeFailed) isDirectoryMessage()        {}
func (AddressFailed) isDirectoryMessage()     {}
func (DirectoryTick) isDirectoryMessage()     {}

// DirectoryEffect is an output of a Directory.
type DirectoryEffect interface{ isDirectoryEffect() }

// AskNode asks a node for addresses.
type QueryNode struct{ Node string }

// UseAddress answers FindAddress.
type AddressReply struct {
	Call runner.Call
	// Address is empty if no node answered.
	Address string
	// Denied says that the budget allows no repetition.
	RetryDenied bool
}

func (QueryNode) isDirectoryEffect()    {}
func (AddressReply) isDirectoryEffect() {}

const (
	// repeatCost is the number of requests that pay for one repetition.
	retryCost = 10
	// maxSavings bounds the repetitions that a good time leaves for a bad one.
	maxRetryBalance = 10 * retryCost
	// firstSavings allows a new client a few repetitions.
	initialRetryBalance = 3 * retryCost
)

// Directory decides which address a request uses and whether it may be
// repeated.
type Directory struct {
	// Nodes are the known addresses of nodes; Next is the one to ask next.
	Nodes    []string
	NextNode int
	// Addresses is the last answer, best first, without those that failed.
	Addresses []string
	// Until is the end of the answer's lifetime.
	ExpiresAt time.Time
	// Asking says that a node has been asked and has not answered; Tried
	// counts the nodes that failed since the last answer.
	Querying    bool
	FailedNodes int
	Waiting     []FindAddress
	// Savings pay for repetitions: a request adds 1.
	RetryBalance int
}

// NewDirectory returns a directory that knows some nodes and begins with the
// one at an index, so that many clients do not ask the same one.
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

// choose returns the best address that is not avoided, or "".
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

// failed goes on to the next node. After all of them the last answer serves,
// however old it is: its addresses may still work.
func (d *Directory) nodeFailed() []DirectoryEffect {
	d.FailedNodes++
	d.NextNode = (d.NextNode + 1) % len(d.Nodes)
	if d.FailedNodes < len(d.Nodes) {
		return d.queryNextNode()
	}
	d.Querying, d.FailedNodes = false, 0
	return d.replyAll()
}

// answerAll answers all that wait. A request that has avoided every address
// gets the best one again.
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
