// Package runner runs controllers as tasks.
//
// A controller decides and a task acts: the task owns the controller's state
// and the sockets that its effects need, feeds it one message at a time from
// a bounded inbox, and carries out the effects that it returns. Keeping the
// two apart lets the same decisions run behind another front end, in virtual
// time, or from a test script.
package runner
