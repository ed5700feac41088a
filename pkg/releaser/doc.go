// Package releaser holds the data that operators control: release notes,
// workspace keys, the log of accepted changes and the configuration that
// results from it. It validates and applies changes. It does not depend on an
// encoding, so that a command line, a node or another front end can use the same
// rules.
package releaser
