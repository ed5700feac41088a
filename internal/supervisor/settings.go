package supervisor

import (
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/predictor"
)

// Settings describes a node.
type Settings struct {
	// Name is the node's name in the platform's instance list.
	Name       string
	DataCentre string
	Region     string
	// CallerAddress and PeerAddress are "IP:port" to listen on, as other
	// processes reach them.
	CallerAddress string
	PeerAddress   string
	// PlatformAddress is "IP:port" of the object API and the instance list.
	PlatformAddress string
	// OrderToken is sent with orders to endpoints that check it.
	OrderToken string
	// Regions are all regions of the deployment.
	Regions []string
	// StoreRate and MaxStoreLoads are the region's part of the weight store:
	// loads a second, and loads in progress.
	StoreRate     float64
	MaxStoreLoads int
	// LimitSlots is the number of standing shares of every workspace, at
	// least the number of entry instances.
	LimitSlots int
	// KeepAlive decides how long idle models stay loaded; nil means the
	// placer's default.
	KeepAlive predictor.Policy
	// DrainGrace bounds the wait for running requests of a leaving node.
	DrainGrace time.Duration
	// Listen opens the node's listeners, so that measurements can count what
	// passes; nil means net.Listen for TCP.
	Listen func(address string) (net.Listener, error)
	Clock  clockwork.Clock
	Logger logrus.FieldLogger
}

func (s Settings) listen(address string) (net.Listener, error) {
	if s.Listen != nil {
		return s.Listen(address)
	}
	return net.Listen("tcp", address)
}
