// Package sequencer orders what an object API has returned.
//
// An object API numbers its changes. One that is restored from an older copy loses
// later changes and gives their numbers out again, so that a number alone does not
// show which of two states is newer.
package sequencer
