// Package publisher writes operators' changes to the change log.
//
// A change and its audit record are one conditional update of the log's head.
// Of two operators who race, one wins; a lost reply is recognised by the
// change's ID; and nothing is applied in part.
package publisher
