package forwarder

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/screener"
)

// fingerprintBytes is the length of a fingerprint. With 16 bytes, different requests
// do not share one by chance or by intent.
const fingerprintBytes = 16

// fingerprint returns what identifies the request in all its repetitions. It reads the
// body when it is called for the first time.
func fingerprint(forward *filter.Forward) string {
	if forward.Fingerprint == "" {
		forward.Fingerprint = computeFingerprint(forward)
	}
	return forward.Fingerprint
}

// computeFingerprint is the same for all requests of a workspace with the same method,
// target and body. The identifiers of requests are left out, because each repetition of a
// request has its own.
func computeFingerprint(forward *filter.Forward) string {
	hash := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{
		[]byte(forward.Workspace.Name), []byte(forward.Method), []byte(forward.Host), []byte(forward.Target), forward.Body,
	} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write(field)
	}
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}

// subject returns what is screened of a request.
func subject(forward *filter.Forward) screener.Subject {
	return screener.Subject{
		Service:     forward.Service,
		Parts:       forward.SharedParts,
		Fingerprint: func() string { return fingerprint(forward) },
	}
}
