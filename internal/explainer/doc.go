// Package explainer defines questions about where a node would send a request now, and
// answers them from the functions that decide, without side effects.
package explainer
