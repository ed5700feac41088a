// Package encoder reads and writes JSON strictly.
//
// It validates input from operators, callers and other processes. An unknown
// field, a wrong type, or an oversized or truncated body returns an error with
// the position of the fault, so that no input is applied in part.
package encoder
