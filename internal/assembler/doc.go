// Package assembler connects the parts of a node on the users' platform.
//
// It creates the tasks, serves the addresses of the settings and lets the node
// leave. It makes no decisions about requests.
package assembler
