package dispatcher

import (
	"errors"
	"net"
	"sync"
	"testing"
)

// Guards against "not run" for a connection that gets written later: net/http
// writes in a goroutine that can start after the attempt has failed.
func TestSealedConnectionIsNeverWritten(t *testing.T) {
	for range 2000 {
		near, far := net.Pipe()
		conn := &connection{Conn: near}
		received := make(chan bool, 1)
		go func() {
			count, _ := far.Read(make([]byte, 1))
			received <- count > 0
		}()
		var both sync.WaitGroup
		var writeErr error
		unwritten := false
		both.Go(func() { _, writeErr = conn.Write([]byte("x")) })
		both.Go(func() { unwritten = conn.seal() })
		both.Wait()
		near.Close()
		got := <-received
		if unwritten == got {
			t.Fatalf("sealed %t, but a byte arrived: %t", unwritten, got)
		}
		if unwritten && !errors.Is(writeErr, errSealed) {
			t.Fatalf("write to a sealed connection: %v", writeErr)
		}
	}
}
