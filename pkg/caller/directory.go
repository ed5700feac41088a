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
	Again bool
}

// ForgetCall reports that nobody waits for the answer to a call any more.
type ForgetCall struct{ Call runner.Call }

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

func (FindAddress) isDirectoryMessage()    {}
func (ForgetCall) isDirectoryMessage()     {}
func (AddressesFound) isDirectoryMessage() {}
func (NodeFailed) isDirectoryMessage()     {}
func (AddressFailed) isDirectoryMessage()  {}
func (DirectoryTick) isDirectoryMessage()  {}

// DirectoryEffect is an output of a Directory.
type DirectoryEffect interface{ isDirectoryEffect() }

// AskNode asks a node for addresses.
type AskNode struct{ Node string }

// UseAddress answers FindAddress.
type UseAddress struct {
	Call runner.Call
	// Address is empty if no node answered.
	Address string
	// Denied says that the budget allows no repetition.
	Denied bool
}

func (AskNode) isDirectoryEffect()    {}
func (UseAddress) isDirectoryEffect() {}

const (
	// repeatCost is the number of requests that pay for one repetition.
	repeatCost = 10
	// maxSavings bounds the repetitions that a good time leaves for a bad one.
	maxSavings = 10 * repeatCost
	// firstSavings allows a new client a few repetitions.
	firstSavings = 3 * repeatCost
)

// Directory decides which address a request uses and whether it may be
// repeated.
type Directory struct {
	// Nodes are the known addresses of nodes; Next is the one to ask next.
	Nodes []string
	Next  int
	// Addresses is the last answer, best first, without those that failed.
	Addresses []string
	// Until is the end of the answer's lifetime.
	Until time.Time
	// Asking says that a node has been asked and has not answered; Tried
	// counts the nodes that failed since the last answer.
	Asking  bool
	Tried   int
	Waiting []FindAddress
	// Savings pay for repetitions: a request adds 1.
	Savings int
}

// NewDirectory returns a directory that knows some nodes and begins with the
// one at an index, so that many clients do not ask the same one.
func NewDirectory(nodes []string, first int) *Directory {
	return &Directory{Nodes: nodes, Next: first % len(nodes), Savings: firstSavings}
}

// Wake implements runner.Controller.
func (*Directory) Wake() time.Time { return time.Time{} }

// Step implements runner.Controller.
func (d *Directory) Step(now time.Time, message DirectoryMessage) []DirectoryEffect {
	switch message := message.(type) {
	case FindAddress:
		return d.find(now, message)
	case ForgetCall:
		d.Waiting = slices.DeleteFunc(d.Waiting, func(find FindAddress) bool { return find.Call == message.Call })
		return nil
	case AddressesFound:
		d.Asking, d.Tried = false, 0
		d.Addresses, d.Until = message.Addresses, now.Add(message.CacheFor)
		return d.answerAll()
	case NodeFailed:
		return d.failed()
	case AddressFailed:
		d.Addresses = slices.DeleteFunc(slices.Clone(d.Addresses), func(address string) bool { return address == message.Address })
		return nil
	default:
		return nil
	}
}

func (d *Directory) find(now time.Time, find FindAddress) []DirectoryEffect {
	if find.Again && d.Savings < repeatCost {
		return []DirectoryEffect{UseAddress{Call: find.Call, Denied: true}}
	}
	if find.Again {
		d.Savings -= repeatCost
	} else {
		d.Savings = min(d.Savings+1, maxSavings)
	}
	if address := d.choose(find.Avoid); address != "" && now.Before(d.Until) {
		return []DirectoryEffect{UseAddress{Call: find.Call, Address: address}}
	}
	d.Waiting = append(d.Waiting, find)
	if d.Asking {
		return nil
	}
	return d.ask()
}

// choose returns the best address that is not avoided, or "".
func (d *Directory) choose(avoid []string) string {
	for _, address := range d.Addresses {
		if !slices.Contains(avoid, address) {
			return address
		}
	}
	return ""
}

func (d *Directory) ask() []DirectoryEffect {
	d.Asking = true
	return []DirectoryEffect{AskNode{Node: d.Nodes[d.Next]}}
}

// failed goes on to the next node. After all of them the last answer serves,
// however old it is: its addresses may still work.
func (d *Directory) failed() []DirectoryEffect {
	d.Tried++
	d.Next = (d.Next + 1) % len(d.Nodes)
	if d.Tried < len(d.Nodes) {
		return d.ask()
	}
	d.Asking, d.Tried = false, 0
	return d.answerAll()
}

// answerAll answers all that wait. A request that has avoided every address
// gets the best one again.
func (d *Directory) answerAll() []DirectoryEffect {
	var effects []DirectoryEffect
	for _, find := range d.Waiting {
		address := d.choose(find.Avoid)
		if address == "" {
			address = d.choose(nil)
		}
		effects = append(effects, UseAddress{Call: find.Call, Address: address})
	}
	d.Waiting = nil
	return effects
}
