// Package clienttester tests node processes against callers that exceed the limits: heads
// without an end, more connections than there are descriptors, and bytes that are sent or
// read slowly.
//
// Its tests run one at a time and check only what does not depend on the speed of the
// machine: that the process lives, that its memory and its open descriptors stay within
// the settings, and that an ordinary request is answered.
package clienttester
