// Package assembler assembles a node on the users' platform.
//
// It creates and connects the tasks, listens on the addresses in the settings
// and shuts the node down. It makes no decisions about requests.
package assembler
