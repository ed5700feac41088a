// Package commander is the command line of toucanhitch.
//
// It checks settings as a whole before anything runs, turns operators'
// commands into changes of the change log, and gives every outcome an exit
// code of its own, so that scripts can tell a conflict from an outage.
package commander
