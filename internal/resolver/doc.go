// Package resolver finds the route and the workspace of a forwarded request.
//
// The desired state of a deployment names routes, services and workspaces. It
// is kept here as plain data without its encoding, so that the filters and the
// controllers of a node share one immutable copy.
package resolver
