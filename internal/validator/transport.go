package validator

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that refuses responses that are not valid, and whose bodies end
// with io.EOF only if they are complete. It supports neither TLS nor HTTP/2, nor requests with
// an Upgrade field.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings and the dialer of another one, which must
// not be used any more.
func NewTransport(transport *http.Transport) Transport {
	dialContext := transport.DialContext
	if dialContext == nil {
		dialContext = (&net.Dialer{}).DialContext
	}
	transport.DialContext = checkConns(dialContext)
	return Transport{transport}
}

// RoundTrip implements http.RoundTripper. Errors, also those of the body: ErrInvalid, and those
// of http.Transport.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*Conn)
		conn.expected.Store(&request.Method)
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		if conn != nil && conn.invalid.Load() != nil {
			// net/http describes only the part of the line that it got.
			err = *conn.invalid.Load()
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleAfter closes the idle connections after an error that makes them doubtful as well, such
// as a time-out. ErrInvalid does not.
func (t Transport) CloseIdleAfter(err error) {
	if !errors.Is(err, ErrInvalid) {
		t.CloseIdleConnections()
	}
}

// Underlying returns the connection that the dialer of a Transport has opened.
func Underlying(conn net.Conn) net.Conn {
	if conn, ok := conn.(*Conn); ok {
		return conn.Conn.Conn
	}
	return conn
}
