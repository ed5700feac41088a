// Package storer keeps the system's shared state in the platform's object API.
//
// Everything that must last or be agreed on goes through conditional updates
// of objects. The package turns the platform's failures into a few sentinel
// errors, and recognises a write of its own whose reply was lost, so that
// controllers never decide on a guess.
package storer
