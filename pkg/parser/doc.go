// Package parser encodes and decodes release notes, changes and configurations
// as JSON.
//
// It is separate from package releaser so that the rules for changes do not
// depend on their encoding.
package parser
