// Package tester runs scripted tests of controllers.
//
// A script is a txtar file: a comment that says which failure the script
// guards against, an optional "setup" file with the controller's initial
// state as JSON, and a "script" file with one message a line. The trace of
// messages and effects is compared with a golden file, so that a change of
// a decision shows up as a readable difference.
package tester
