// Package messenger carries messages between nodes as HTTP with JSON.
//
// Each message has a file with its unexported wire types, its handler and its
// client. The rest of the system exchanges plain exported structs and does not
// know how they travel.
package messenger
