package emulator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// EndpointHandler is a stand-in that the fault Die can stop.
type EndpointHandler interface {
	http.Handler
	// Died is closed when the fault Die is set.
	Died() <-chan struct{}
}

// EndpointServer serves an engine or a service on a TCP address and implements
// the faults of listeners and connections.
type EndpointServer struct {
	// Address is the "IP:port" that the server listens on.
	Address string

	server   *http.Server
	listener *endpointListener
	ended    chan struct{}
}

// endpointHeaderTimeout is the time limit for receiving a request header.
const endpointHeaderTimeout = 10 * time.Second

// ServeEndpoint listens on address and serves until the returned clean-up
// function is called or the fault Die is set.
func ServeEndpoint(address string, handler EndpointHandler) (*EndpointServer, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, merry.Wrap(err, merry.PrependMessagef("listen on %q", address))
	}
	server := &EndpointServer{
		Address:  listener.Addr().String(),
		listener: newEndpointListener(listener),
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: endpointHeaderTimeout,
			ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
				return context.WithValue(ctx, endpointConnKey{}, conn)
			},
		},
		ended: make(chan struct{}),
	}
	go func() {
		defer close(server.ended)
		_ = server.server.Serve(server.listener)
	}()
	go server.closeWhenDied(handler)
	return server, server.close, nil
}

// Ended returns a channel that is closed when the server has stopped listening.
func (s *EndpointServer) Ended() <-chan struct{} { return s.ended }

// Shutdown stops listening and waits for the requests in progress. It returns
// the context's error if ctx ends first.
func (s *EndpointServer) Shutdown(ctx context.Context) error {
	return merry.Wrap(s.server.Shutdown(ctx))
}

func (s *EndpointServer) closeWhenDied(handler EndpointHandler) {
	select {
	case <-handler.Died():
		s.close()
	case <-s.ended:
	}
}

// SilenceOpen permanently stops delivering data on all open connections. New
// ones work.
func (s *EndpointServer) SilenceOpen() { s.listener.silenceOpen(nil) }

func (s *EndpointServer) close() {
	s.listener.closeAll()
	_ = s.server.Close()
	<-s.ended
}
