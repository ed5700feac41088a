// Package runner runs controllers as tasks.
//
// A controller makes decisions and a task executes them: the task owns the
// controller's state and the sockets that its effects need, passes it one
// message at a time from a bounded inbox, and performs the effects that it
// returns. Because the controller does no I/O, the same decision logic also
// runs behind another front end, in virtual time, or from a test script.
package runner
