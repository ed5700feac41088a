package releaser

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// KeyPrefix is the prefix of every workspace key, by which keys that leaked into
// text such as logs can be found.
const KeyPrefix = "thk_"

const keyBytes = 32

// NewKey returns a new random workspace key.
func NewKey() string {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never returns an error; it crashes the process instead
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// Digest returns the SHA-256 digest of a key in lower-case hexadecimal. Keys
// have 256 random bits, so no slow password hash is needed.
func Digest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}
