package messenger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/relayer"
	"toucanhitch.example/toucanhitch/internal/validator"
)

const (
	relayPath = "/peer/v1/relay"
	// relayProtocol is what a connection becomes once the peer has connected to the replica.
	relayProtocol = "toucanhitch-relay"
	// relayNotices is a header of nodes that understand a retirement. Those of an older version
	// would take it for a frame.
	relayNotices = "Relay-Notices"
	// relayHeadBytes fits the head and the refusal of a peer.
	relayHeadBytes = 1 << 10
)

type relayRequest struct{ Replica, Address string }

type relayRefusal struct {
	// ReplicaUnreachable is set if the peer cannot connect to the replica.
	ReplicaUnreachable bool `json:",omitempty"`
	Detail             string
}

// Relay opens a connection to a replica through a peer. Its errors wrap
// relayer.ErrReplicaUnreachable, relayer.ErrPeerRefused or ErrUnreachable. A peer of a build
// that does not relay is an ErrPeerRefused. Nothing has reached the replica after an error.
func (c *Client) Relay(ctx context.Context, peer string, replica relayer.Replica) (net.Conn, error) {
	conn, err := c.transport.DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s: %v", peer, err))
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err = requestRelay(conn, peer, replica)
	if !stop() && err == nil {
		err = merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s: %v", peer, context.Cause(ctx)))
	}
	if err != nil {
		conn.Close()
		if errors.Is(err, ErrUnknownMessage) {
			c.Observe(FormUse{Text: noRelay, Peer: peer, Path: relayPath, First: c.uses.first(peer + relayPath)})
		}
		return nil, err
	}
	return relayer.Unframe(conn), nil
}

// requestRelay asks the peer on a new connection to connect it to a replica.
func requestRelay(conn net.Conn, peer string, replica relayer.Replica) error {
	body := encoder.Encode(relayRequest{replica.ID, replica.Address})
	request, err := http.NewRequest(http.MethodPost, "http://"+peer+relayPath, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(ErrRefused, merry.AppendMessagef("address %q: %v", peer, err))
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", relayProtocol)
	request.Header.Set(relayNotices, "1")
	if err := request.Write(conn); err != nil {
		return merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s: %v", peer, err))
	}
	response, err := readRelayAnswer(conn)
	if err != nil {
		return merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s: %v", peer, err))
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil
	}
	detail, err := encoder.Read(response.Body, relayHeadBytes)
	switch {
	case err != nil && !errors.Is(err, encoder.ErrTooLarge):
		return merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s: %s: %v", peer, response.Status, err))
	case response.StatusCode == http.StatusNotFound:
		return merry.Wrap(relayer.ErrPeerRefused, merry.WithCause(ErrUnknownMessage), merry.AppendMessage(peer))
	}
	refusal, err := encoder.DecodeLenient[relayRefusal](detail)
	switch {
	case err != nil:
		return merry.Wrap(relayer.ErrPeerRefused, merry.AppendMessagef("%s: %s", peer, response.Status))
	case refusal.ReplicaUnreachable:
		return merry.Wrap(relayer.ErrReplicaUnreachable, merry.AppendMessagef("%s: %s", peer, refusal.Detail))
	}
	return merry.Wrap(relayer.ErrPeerRefused, merry.AppendMessagef("%s: %s", peer, refusal.Detail))
}

// readRelayAnswer reads the head of a peer's answer, after any interim ones. Errors: those of
// validator.ReadResponse, and validator.ErrInvalid for a switch to another protocol.
func readRelayAnswer(conn net.Conn) (*http.Response, error) {
	reader := bufio.NewReaderSize(byteReader{conn}, relayHeadBytes)
	for {
		response, err := validator.ReadResponse(reader, http.MethodPost)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols && response.Header.Get("Upgrade") != relayProtocol:
			return nil, merry.Wrap(validator.ErrInvalid, merry.AppendMessagef("switch to protocol %q", response.Header.Get("Upgrade")))
		case response.StatusCode == http.StatusSwitchingProtocols, response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// byteReader reads single bytes, so that nothing beyond the head of the answer is read: a replica
// may send its answer before it has read the request.
type byteReader struct{ reader io.Reader }

// Read implements io.Reader.
func (r byteReader) Read(buffer []byte) (int, error) {
	return r.reader.Read(buffer[:min(1, len(buffer))])
}

// Carrier connects other nodes with replicas.
type Carrier interface {
	Connect(ctx context.Context, replica relayer.Replica) (net.Conn, func(), error)
	Carry(node, replica net.Conn, takesNotices bool)
}

// HandleRelay registers the handler of relayed connections.
func HandleRelay(mux *http.ServeMux, carrier Carrier) {
	mux.HandleFunc("POST "+relayPath, func(w http.ResponseWriter, r *http.Request) {
		request, err := encoder.DecodeLenientFrom[relayRequest](r.Body, relayHeadBytes)
		if err != nil || r.Header.Get("Upgrade") != relayProtocol {
			http.Error(w, "relay: an upgrade to "+relayProtocol+" with a replica is required", http.StatusBadRequest)
			return
		}
		replica, release, err := carrier.Connect(r.Context(), relayer.Replica{ID: request.Replica, Address: request.Address})
		if err != nil {
			refuseRelay(w, err)
			return
		}
		defer release()
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			refuseRelay(w, err)
			return
		}
		defer conn.Close()
		if buffered.Reader.Buffered() > 0 {
			return
		}
		if _, err := conn.Write([]byte(relayAccepted)); err == nil {
			carrier.Carry(conn, replica, r.Header.Get(relayNotices) != "")
		}
	})
}

const relayAccepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + relayProtocol + "\r\n\r\n"

func refuseRelay(w http.ResponseWriter, err error) {
	refusal := relayRefusal{ReplicaUnreachable: errors.Is(err, relayer.ErrReplicaUnreachable), Detail: err.Error()}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(encoder.Encode(refusal))
}
