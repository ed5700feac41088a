// Package parser turns release notes, changes and configurations into JSON and
// back.
//
// It is kept apart from package releaser so that the rules for changes do not
// depend on how they are written down.
package parser
