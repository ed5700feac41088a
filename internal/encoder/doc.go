// Package encoder reads and writes JSON.
//
// It validates input from operators, callers and other processes. An unknown
// field, a wrong type, or an oversized or truncated body returns an error with
// the position of the fault, so that no input is applied in part. Unknown fields
// are ignored in messages and objects of other nodes, which may be of a later
// build (docs/design/upgrades.md), and of systems that are upgraded independently.
package encoder
