package benchmarker

// portsOfATest is the number of consecutive ports that a fleet of a test may
// use.
const portsOfATest = 40
