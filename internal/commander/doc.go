// Package commander is the command line of toucanhitch.
//
// It validates all settings before anything runs, appends operators' changes to
// the change log, and returns distinct exit codes, so that scripts can
// distinguish a conflict from an outage.
package commander
