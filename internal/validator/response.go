package validator

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
)

// ReadResponse reads the head of a response to a request with the given method, like
// http.ReadResponse, and checks it. Status 101 is valid here. The body is read from the same
// reader and returns io.EOF only if it is complete. Errors: ErrInvalid, io.ErrUnexpectedEOF for a
// head that breaks off, and those of the reader.
func ReadResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	text, err := readHead(reader)
	if err != nil {
		return nil, err
	}
	parsed := bytes.NewReader(text)
	response, err := http.ReadResponse(bufio.NewReaderSize(parsed, len(text)), &http.Request{Method: method})
	if err != nil {
		return nil, invalid("%v", err)
	}
	response.Body = newBody(reader, response)
	return response, nil
}

// readHead reads and checks the lines of a head.
func readHead(reader *bufio.Reader) ([]byte, error) {
	var h head
	text := make([]byte, 0, headBytes)
	for start := 0; ; {
		part, err := reader.ReadSlice('\n')
		text = append(text, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		ended, err := h.readLine(trimLineEnd(text[start:]))
		if err != nil || ended {
			return text, err
		}
		start = len(text)
	}
}

// headBytes is the usual size of a head.
const headBytes = 512

// newBody returns the body of a response whose head was parsed.
func newBody(reader *bufio.Reader, response *http.Response) io.ReadCloser {
	switch {
	case response.Body == http.NoBody:
		return http.NoBody
	case response.ContentLength >= 0:
		return io.NopCloser(&lengthBody{io.LimitedReader{R: reader, N: response.ContentLength}})
	case len(response.TransferEncoding) > 0:
		raw := bufio.NewReaderSize(&chunkReader{reader: reader}, chunkLineBytes)
		return io.NopCloser(&chunkedBody{Reader: httputil.NewChunkedReader(raw), raw: raw})
	}
	return io.NopCloser(reader)
}

// lengthBody is a body with a Content-Length.
type lengthBody struct{ io.LimitedReader }

// Read implements io.Reader.
func (b *lengthBody) Read(buffer []byte) (int, error) {
	n, err := b.LimitedReader.Read(buffer)
	if errors.Is(err, io.EOF) && b.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkLineBytes is the maximum size of the line of a chunk, as in net/http.
const chunkLineBytes = 4 << 10

// chunkedBody is a body in chunks.
type chunkedBody struct {
	// Reader decodes raw up to the trailer section.
	io.Reader
	raw *bufio.Reader
}

// Read implements io.Reader.
func (b *chunkedBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if _, err := io.Copy(io.Discard, b.raw); err != nil {
		return n, err
	}
	return n, io.EOF
}

// chunkReader returns the bytes of a body in chunks, with its trailer section, and io.EOF once it
// is complete. It reads nothing of what follows the body.
type chunkReader struct {
	reader *bufio.Reader
	chunks chunks
	ended  bool
}

// Read implements io.Reader.
func (r *chunkReader) Read(buffer []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	if _, err := r.reader.Peek(1); errors.Is(err, io.EOF) {
		return 0, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, err
	}
	data, err := r.reader.Peek(min(len(buffer), r.reader.Buffered()))
	if err != nil {
		return 0, err
	}
	n, ended, err := r.chunks.check(data)
	r.ended = ended
	copy(buffer, data[:n])
	_, _ = r.reader.Discard(n)
	return n, err
}
