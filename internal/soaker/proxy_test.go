package soaker

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode determines how a proxy handles the bytes that it receives.
type mode int32

const (
	forward mode = iota
	// delay forwards bytes after proxyDelay.
	delay
	// blackHole discards all bytes and keeps connections open.
	blackHole
	// discardReplies forwards requests and discards responses.
	discardReplies
	// reset closes connections with a reset.
	reset
)

// proxyDelay is the latency that the mode delay adds to each read.
const proxyDelay = 60 * time.Millisecond

// proxy forwards connections from nodes to an emulated server.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	// modes holds the modes of the connections from single addresses, and open the open
	// connections from all, by address and port.
	modes, open sync.Map
	// silentUntil is the end of a time, in nanoseconds since the epoch, in which the server is
	// silent: the bytes of both directions are held and then forwarded.
	silentUntil atomic.Int64
}

func newProxy(ctx context.Context, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	context.AfterFunc(ctx, func() { listener.Close() })
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) { p.mode.Store(int32(m)) }

// setModeOf sets the mode of the connections from an IP address.
func (p *proxy) setModeOf(ip string, m mode) { p.modes.Store(ip, m) }

// resetConnections resets the open connections from an IP address.
func (p *proxy) resetConnections(ip string) {
	p.open.Range(func(_, conn any) bool {
		if conn := conn.(*net.TCPConn); remoteIP(conn) == ip {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
		return true
	})
}

// modeOf returns the mode of a connection of a node.
func (p *proxy) modeOf(downstream net.Conn) mode {
	if m, ok := p.modes.Load(remoteIP(downstream)); ok && m != forward {
		return m.(mode)
	}
	return mode(p.mode.Load())
}

// silence makes the server silent for a time, unless it is. It then goes on.
func (p *proxy) silence(duration time.Duration) {
	if p.remainingSilence() > 0 {
		return
	}
	p.silentUntil.Store(time.Now().Add(duration).UnixNano())
}

// remainingSilence returns the time for which the server is still silent.
func (p *proxy) remainingSilence() time.Duration {
	return time.Until(time.Unix(0, p.silentUntil.Load()))
}

// forwardSilent forwards bytes. During a silence, it forwards the first half of them, and the rest
// afterwards, so that silence also begins within a head, an event or a body.
func (p *proxy) forwardSilent(dst io.Writer, data []byte) error {
	if p.remainingSilence() <= 0 {
		_, err := dst.Write(data)
		return err
	}
	if _, err := dst.Write(data[:len(data)/2]); err != nil {
		return err
	}
	for wait := p.remainingSilence(); wait > 0; wait = p.remainingSilence() {
		time.Sleep(wait)
	}
	_, err := dst.Write(data[len(data)/2:])
	return err
}

func remoteIP(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

func (p *proxy) accept() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			downstream.Close()
			continue
		}
		p.open.Store(downstream.RemoteAddr().String(), downstream)
		go p.copy(upstream, downstream, true)
		go p.copy(downstream, upstream, false)
	}
}

// copy forwards bytes in one direction. fromNode reports whether src is the
// node's connection.
func (p *proxy) copy(dst, src net.Conn, fromNode bool) {
	defer dst.Close()
	defer src.Close()
	downstream := dst
	if fromNode {
		downstream = src
		defer p.open.Delete(downstream.RemoteAddr().String())
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			switch current := p.modeOf(downstream); {
			case current == delay:
				time.Sleep(proxyDelay)
			case current == reset:
				_ = dst.(*net.TCPConn).SetLinger(0)
				_ = src.(*net.TCPConn).SetLinger(0)
				return
			case current == blackHole, current == discardReplies && !fromNode:
				// The bytes are lost for good even if the mode changes later, as
				// on a network path that dropped the connection's state.
				_, _ = io.Copy(io.Discard, src)
				return
			}
			if err := p.forwardSilent(dst, buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
