// Command benchmark measures the system and prints tables. Each subcommand takes
// a seed and runs until its measurement is complete.
package main

import (
	"os"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"
)

// commonArguments are the arguments that all subcommands share.
type commonArguments struct {
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the random number generator"`
	JSON bool   `arg:"--json" help:"print JSON instead of text tables"`
}

// arguments has one field for each measurement. Its type has the method run.
type arguments struct {
	Scheduling *schedulingArguments `arg:"subcommand:scheduling" help:"compare the scheduler with simpler policies in virtual time"`
	Placement  *placementArguments  `arg:"subcommand:placement" help:"compare keep-alive policies at the deployment sizes of the first users in virtual time"`
	Rare       *rareArguments       `arg:"subcommand:rare" help:"compare the placement of rarely used models with a bound in virtual time"`
	Limits     *limitsArguments     `arg:"subcommand:limits" help:"compare ways to keep workspaces within their limits in virtual time"`
	Journal    *journalArguments    `arg:"subcommand:journal" help:"compare ways to write intents, with a store in memory"`
	Relay      *relayArguments      `arg:"subcommand:relay" help:"compare a node with a direct call and a bare relay"`
	Slopes     *slopesArguments     `arg:"subcommand:slopes" help:"measure how costs grow with the size of a deployment"`
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	subcommand, ok := parser.Subcommand().(interface{ run() error })
	if !ok {
		parser.Fail("a subcommand is required")
	}
	if err := subcommand.run(); err != nil {
		logrus.WithError(err).Error("measurement failed")
		os.Exit(1)
	}
}
