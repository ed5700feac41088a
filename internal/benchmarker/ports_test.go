package benchmarker

// portsPerTest is the number of consecutive ports that the fleet of one test
// may use.
const portsPerTest = 40
