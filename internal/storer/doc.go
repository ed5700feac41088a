// Package storer keeps the system's shared state in the platform's object API.
//
// State that must be durable or agreed on between nodes is changed by conditional
// updates of objects. The package maps the platform's failures to a few sentinel
// errors. After a lost reply it detects whether its own write took effect, so
// that controllers never have to guess the outcome.
package storer
