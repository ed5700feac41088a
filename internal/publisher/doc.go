// Package publisher writes operators' changes to the change log.
//
// A change and its audit record are written by one conditional update of the
// log's head. If two operators update the head concurrently, only one update
// succeeds. After a lost reply, the change's ID shows whether the change was
// accepted. No change is applied in part.
package publisher
