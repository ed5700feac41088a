package supervisor

import (
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/predictor"
)

// Settings configures a node.
type Settings struct {
	// Name is the node's name in the platform's instance list.
	Name       string
	DataCentre string
	Region     string
	// CallerAddress and PeerAddress are the "IP:port" to listen on; other
	// processes must be able to connect to them.
	CallerAddress string
	PeerAddress   string
	// PlatformAddress is "IP:port" of the object API and the instance list.
	PlatformAddress string
	// OrderToken is sent with orders, for endpoints that check it.
	OrderToken string
	// Regions lists all regions of the deployment.
	Regions []string
	// StoreRate and MaxStoreLoads are the region's share of the weight store's
	// capacity: loads per second, and loads in progress.
	StoreRate     float64
	MaxStoreLoads int
	// LimitSlots is the number of standing shares of each workspace's limits.
	// It must be at least the number of entry instances.
	LimitSlots int
	// KeepAlive decides how long idle models stay loaded; nil selects the
	// placer's default policy.
	KeepAlive predictor.Policy
	// DrainGrace limits the wait for running requests when the node shuts
	// down.
	DrainGrace time.Duration
	// Memory is the memory of the process in bytes, and MaxDescriptors the number of file
	// descriptors that it may have open. 0 means unknown.
	Memory         int64
	MaxDescriptors int
	// Listen opens the node's listeners, so that benchmarks can count the
	// traffic; nil means net.Listen for TCP.
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
