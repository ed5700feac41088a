package assembler

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead peer
	// on a connection on which nothing is being sent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout closes a connection whose peer does not acknowledge sent
	// data. The system ends keep-alive by this time as well, whatever
	// keepAliveCount is: with less, a single probe without an answer closes a
	// connection to a peer that is only silent for a second.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// connectTimeout limits connection attempts of calls that have no deadline
	// of their own.
	connectTimeout = time.Second
)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// newDialer returns a dialer whose connections detect an unresponsive peer.
func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// listen opens a listener whose connections detect an unresponsive peer.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
