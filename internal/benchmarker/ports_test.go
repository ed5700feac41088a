package benchmarker

// portsPerTest is the number of consecutive ports that a fleet of a test may
// use.
const portsPerTest = 40
