// Package validator rejects HTTP/1.1 responses that RFC 9110 and RFC 9112 do not allow but
// net/http accepts: it takes any three digits as a status, field names with spaces, two
// contradicting lengths, and anything behind the size of a chunk.
package validator
