// Package encoder reads and writes JSON strictly.
//
// Input from operators, callers and other processes is checked here once: an
// unknown field, a wrong type, an oversized or truncated body gives an error
// that names the place, so that nothing is applied in part.
package encoder
