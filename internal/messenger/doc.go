// Package messenger carries messages between nodes as HTTP with JSON.
//
// The unexported wire types, the handler and the client method of each message
// are in one file. Other packages use plain exported structs and are independent
// of the wire format.
package messenger
