package tester

import (
	"bufio"
	"embed"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// answerFiles are the answers that replicas and endpoints in trouble may give. A line is
// "broken" or "valid", a name, and the bytes as a Go string.
//
//go:embed answers/*.txt
var answerFiles embed.FS

// Answer is an answer as bytes, with places for what a test expects.
type Answer struct {
	// Name is that of the file and the line.
	Name string
	// Valid reports that RFC 9110 and RFC 9112 allow the answer.
	Valid bool
	Text  string
}

// Answers returns the answers of all files.
func Answers(t *testing.T) []Answer {
	t.Helper()
	files, err := answerFiles.ReadDir("answers")
	if err != nil {
		t.Fatal(err)
	}
	var answers []Answer
	for _, file := range files {
		text, err := answerFiles.ReadFile("answers/" + file.Name())
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
			name, quoted, _ := strings.Cut(strings.TrimSpace(rest), " ")
			bytes, err := strconv.Unquote(strings.TrimSpace(quoted))
			if err != nil || kind != "broken" && kind != "valid" {
				t.Fatalf("%s: %q is no answer: %v", file.Name(), line, err)
			}
			name = strings.TrimSuffix(file.Name(), ".txt") + "/" + name
			answers = append(answers, Answer{Name: name, Valid: kind == "valid", Text: bytes})
		}
	}
	return answers
}

// Fill returns the bytes of an answer with a status, field lines (each with CRLF) and a body.
// {answer} is a complete valid answer, and {chunk} the body as one chunk.
func (a Answer) Fill(status, fields, body string) string {
	length := strconv.Itoa(len(body))
	whole := "HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
	chunk := strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
	text := strings.ReplaceAll(a.Text, "{answer}", whole)
	return strings.NewReplacer("{status}", status, "{fields}", fields, "{length}", length, "{body}", body, "{chunk}", chunk).Replace(text)
}

// ServeAnswer starts a server that reads a request with its body, sends the answer and closes
// the connection, for each connection. It returns the server's address.
func ServeAnswer(t *testing.T, answer string) string {
	return serve(t, func(conn *net.TCPConn, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			_, _ = conn.Write([]byte(answer))
		}
	})
}

// ServeReset starts a server that answers a request with a part of an answer before it reads the
// body, and resets the connection. It returns the server's address.
func ServeReset(t *testing.T, part string) string {
	return serve(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = conn.Write([]byte(part))
		// The reset would discard what has not arrived yet.
		clockwork.NewRealClock().Sleep(40 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
}

func serve(t *testing.T, answer func(*net.TCPConn, *http.Request)) string {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
