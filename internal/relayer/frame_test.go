package relayer

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// TestFramesEnd guards against an answer without a length that looks complete although the
// carrier has ended in the middle of it, by a close in order too, and against bytes that are lost
// if a read reaches its deadline within a frame.
func TestFramesEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		sent []string
		want error
	}{
		{"replica closes", []string{"\x00\x03abc", "\x00\x01", "d", "\x00\x00"}, io.EOF},
		{"carrier ends between frames", []string{"\x00\x04abcd"}, io.ErrUnexpectedEOF},
		{"carrier ends within a head", []string{"\x00", "\x04abcd", "\x00"}, io.ErrUnexpectedEOF},
		{"carrier ends within a frame", []string{"\x00\x09ab", "cd"}, io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			node, carrier := net.Pipe()
			defer node.Close()
			go func() {
				for _, part := range test.sent {
					_, _ = carrier.Write([]byte(part))
					time.Sleep(5 * time.Millisecond)
				}
				_ = carrier.Close()
			}()
			conn := Unframe(node)
			var received []byte
			buffer := make([]byte, 2)
			for {
				_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
				n, err := conn.Read(buffer)
				received = append(received, buffer[:n]...)
				if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					continue
				}
				if string(received) != "abcd" || !errors.Is(err, test.want) {
					t.Errorf("received %q and %v, want abcd and %v", received, err, test.want)
				}
				return
			}
		})
	}
}
