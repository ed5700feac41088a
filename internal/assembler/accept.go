package assembler

import (
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/acceptor"
	"toucanhitch.example/toucanhitch/internal/forwarder"
)

// newAcceptor returns the acceptor of the node's listeners.
func (n *Node) newAcceptor() *acceptor.Acceptor {
	return acceptor.New(acceptor.Settings{
		Clock:       n.clock,
		Memory:      int64(n.settings.MemoryMB * (1 << 20)),
		Descriptors: n.settings.MaxDescriptors,
		Limits:      n.connectionLimits,
		Count:       func(reason acceptor.Reason) { n.meter.RecordChange("acceptor", string(reason)) },
		Log:         n.logAcceptorNote,
	})
}

// connectionLimits returns the limits of the configuration in force, zero values if there
// is none.
func (n *Node) connectionLimits() acceptor.Limits {
	configuration, _ := n.view.Configuration()
	if configuration == nil {
		return acceptor.Limits{}
	}
	limits := configuration.Limits
	return acceptor.Limits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// logAcceptorNote logs how many connections were refused or closed since the last line.
func (n *Node) logAcceptorNote(note acceptor.Note) {
	n.logger.WithFields(logrus.Fields{"Reason": note.Reason, "Count": note.Count, "Example": note.Example}).Warn("connections refused or closed")
}

// newBodyBudget returns the budget of the bodies of callers' requests. When it is scarce,
// bodies that arrive slowly make room for those of other callers.
func (n *Node) newBodyBudget() *forwarder.BufferBudget {
	budget := forwarder.NewBufferBudget(bufferBytes(n.settings.MemoryMB))
	budget.OnScarce = n.acceptor.FreeBodies
	return budget
}
