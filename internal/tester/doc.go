// Package tester runs scripted tests of controllers.
//
// A script is a txtar file: a comment that states which failure the script
// guards against, an optional "setup" file with the controller's initial
// state as JSON, and a "script" file with one message per line. The trace of
// messages and effects is compared with a golden file, so that a changed
// decision appears as a readable diff.
package tester
