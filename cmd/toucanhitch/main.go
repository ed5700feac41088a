// Command toucanhitch runs a node on an entry instance, and provides the commands
// for operators.
package main

import (
	"context"
	"os"

	"toucanhitch.example/toucanhitch/internal/commander"
)

func main() {
	os.Exit(commander.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
