package supervisor

import (
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/acceptor"
	"toucanhitch.example/toucanhitch/internal/server"
)

// newAcceptor returns the acceptor of the node's listeners.
func (n *Node) newAcceptor() *acceptor.Acceptor {
	return acceptor.New(acceptor.Settings{
		Clock:       n.clock,
		Memory:      n.settings.Memory,
		Descriptors: n.settings.MaxDescriptors,
		Limits:      func() acceptor.Limits { return server.ConnectionLimits },
		Count:       func(reason acceptor.Reason) { n.meter.RecordChange("acceptor", string(reason)) },
		Log: func(note acceptor.Note) {
			n.logger.WithFields(logrus.Fields{"Reason": note.Reason, "Count": note.Count, "Example": note.Example}).Warn("connections refused or closed")
		},
	})
}
