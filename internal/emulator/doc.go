// Package emulator has stand-ins for the outside systems: the platform (object
// API, instance list, weight store), model engines and plain services.
//
// They speak the published protocols over HTTP and fail on demand, so that
// tests and measurements meet the failures that the real systems have without
// needing them. Faults are set while a stand-in runs by PUT /faults.
package emulator
