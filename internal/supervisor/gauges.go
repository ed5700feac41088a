package supervisor

import (
	"github.com/ansel1/merry/v2"
)

func (n *Node) createGauges() error {
	gauges := []struct {
		name, description string
		read              func() float64
	}{
		{"toucanhitch.configuration.version", "Version of the configuration in force.", func() float64 {
			return float64(n.view.Configuration().Version)
		}},
		{"toucanhitch.current", "1 if the node can show that its configuration is up to date.", func() float64 {
			if n.view.Current() {
				return 1
			}
			return 0
		}},
		{"toucanhitch.requests.waiting", "Requests that wait for a slot.", func() float64 {
			return float64(n.schedulerLoad.Load().Waiting)
		}},
		{"toucanhitch.requests.running", "Requests that have a slot.", func() float64 {
			return float64(n.schedulerLoad.Load().InUse)
		}},
		{"toucanhitch.connections", "Open connections of callers and other nodes.", func() float64 {
			return float64(n.acceptor.Connections())
		}},
		{"toucanhitch.head.bytes", "Memory that the heads of requests hold, in bytes.", func() float64 {
			return float64(n.acceptor.HeadBytes())
		}},
		{"toucanhitch.leases", "Leases that the node holds.", func() float64 {
			return float64(len(n.validLeases()))
		}},
	}
	for _, gauge := range gauges {
		if err := n.meter.AddGauge(gauge.name, gauge.description, gauge.read); err != nil {
			return merry.Wrap(ErrSettings, merry.AppendMessage(err.Error()))
		}
	}
	return nil
}
