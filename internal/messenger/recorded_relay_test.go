package messenger

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/relayer"
)

// recordedReplica is the address of the replica in the recorded request. The addresses of
// listeners have as many characters.
const recordedReplica = "127.0.0.1:40000"

func recordedBytes(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/forms/b6bbad4/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestRecordedRelayRequest guards against a request of a landed build for a relayed connection
// that this build refuses or frames in another way.
func TestRecordedRelayRequest(t *testing.T) {
	replica := startReplica(t, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 4))
		_, _ = conn.Write([]byte("answer"))
		conn.Close()
	})
	if len(replica.Address) != len(recordedReplica) {
		t.Fatalf("address %s has another length than %s", replica.Address, recordedReplica)
	}
	peer, _ := startRelayPeer(t, admitAll)
	conn, err := net.Dial("tcp", peer)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(relayTestTimeout))
	accepted := recordedBytes(t, "relay-accepted.http")
	end := bytes.Index(accepted, []byte("\r\n\r\n")) + 4
	if _, err := conn.Write(bytes.Replace(recordedBytes(t, "relay-request.http"), []byte(recordedReplica), []byte(replica.Address), 1)); err != nil {
		t.Fatal(err)
	}
	head := make([]byte, end)
	if _, err := io.ReadFull(conn, head); err != nil || !bytes.Equal(head, accepted[:end]) {
		t.Fatalf("answered with %q, error %v", head, err)
	}
	if _, err := conn.Write([]byte("ask\n")); err != nil {
		t.Fatal(err)
	}
	if frames, err := io.ReadAll(conn); err != nil || !bytes.Equal(frames, accepted[end:]) {
		t.Errorf("got the frames %q, error %v; want %q", frames, err, accepted[end:])
	}
}

// TestRecordedRelayAnswers guards against answers of a landed build to a request for a relayed
// connection that this build reads in another way.
func TestRecordedRelayAnswers(t *testing.T) {
	client, closeClient := NewClient(clockwork.NewRealClock())
	defer closeClient()
	conn, err := client.Relay(t.Context(), answerRecorded(t, "relay-accepted.http"), relayer.Replica{ID: "r1"})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if answer, err := io.ReadAll(conn); err != nil || string(answer) != "answer" {
		t.Errorf("got %q, error %v", answer, err)
	}
	if _, err := client.Relay(t.Context(), answerRecorded(t, "relay-refused.http"), relayer.Replica{ID: "r1"}); !errors.Is(err, relayer.ErrPeerRefused) {
		t.Errorf("got %v, want %v", err, relayer.ErrPeerRefused)
	}
}

// answerRecorded returns the address of a peer that gives a recorded answer.
func answerRecorded(t *testing.T, name string) string {
	t.Helper()
	answer := recordedBytes(t, name)
	listener := listenLoopback(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, relayHeadBytes))
		_, _ = conn.Write(answer)
		conn.Close()
	}()
	return listener.Addr().String()
}
