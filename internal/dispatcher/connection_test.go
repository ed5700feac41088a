package dispatcher

import (
	"errors"
	"net"
	"sync"
	"testing"
)

// Guards against reporting an attempt as not run when its request is still
// written later: net/http writes in a goroutine that can start after the attempt
// has failed.
func TestSealedConnectionIsNeverWritten(t *testing.T) {
	for range 2000 {
		near, far := net.Pipe()
		conn := &connection{Conn: near}
		received := make(chan bool, 1)
		go func() {
			count, _ := far.Read(make([]byte, 1))
			received <- count > 0
		}()
		var writers sync.WaitGroup
		var writeErr error
		sealed := false
		writers.Go(func() { _, writeErr = conn.Write([]byte("x")) })
		writers.Go(func() { sealed = conn.seal() })
		writers.Wait()
		near.Close()
		written := <-received
		if sealed == written {
			t.Fatalf("sealed %t, but a byte arrived: %t", sealed, written)
		}
		if sealed && !errors.Is(writeErr, errSealed) {
			t.Fatalf("write to a sealed connection: %v", writeErr)
		}
	}
}
