// Package resolver finds the route and the workspace of a forwarded request.
//
// The configuration of a deployment defines routes, services and workspaces. This
// package holds it as plain data, independent of its encoding, so that the filters
// and the controllers of a node share one immutable copy.
package resolver
