package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/explainer"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/publisher"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/supervisor"
	"toucanhitch.example/toucanhitch/pkg/releaser"
	"toucanhitch.example/toucanhitch/platform"
)

// Exit codes of the command line.
const (
	ExitDone = 0
	// ExitFailed reports any failure that has no other code.
	ExitFailed = 1
	// ExitInvalid reports an invalid argument, setting or release note.
	ExitInvalid = 2
	// ExitConflict reports a release note that was written before another one
	// was accepted.
	ExitConflict = 3
	// ExitUncertain reports a change that may have been accepted.
	ExitUncertain = 4
	// ExitUnavailable reports a platform or node that cannot be reached, too
	// many concurrent changes, or a change that did not come into force on
	// every node in time.
	ExitUnavailable = 5
)

// Errors of the command line.
var (
	// ErrSettings reports invalid settings.
	ErrSettings = merry.Sentinel("invalid settings")
	// ErrNotInForce reports a change that did not come into force on every node
	// in time.
	ErrNotInForce = merry.Sentinel("not in force everywhere")
)

// Arguments are the commands of toucanhitch.
type Arguments struct {
	Node     *NodeCommand     `arg:"subcommand:node" help:"run a node on an entry instance"`
	Serve    *ServeCommand    `arg:"subcommand:serve" help:"run a node on the users' platform"`
	Check    *CheckCommand    `arg:"subcommand:check" help:"check a release note and show what it would change"`
	Apply    *ApplyCommand    `arg:"subcommand:apply" help:"apply a release note"`
	Follow   *FollowCommand   `arg:"subcommand:follow" help:"wait until a change is in force on every node"`
	Grant    *GrantCommand    `arg:"subcommand:grant" help:"grant a new key to a workspace and print it once"`
	Withdraw *WithdrawCommand `arg:"subcommand:withdraw" help:"withdraw a key"`
	Keys     *KeysCommand     `arg:"subcommand:keys" help:"list the keys in force"`
	State    *StateCommand    `arg:"subcommand:state" help:"show nodes, endpoints and the models that they have loaded"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"show where a node on the users' platform would send a request now, and why"`
	Audit    *AuditCommand    `arg:"subcommand:audit" help:"list who changed what and when"`
}

// Description implements go-arg's described interface.
func (Arguments) Description() string {
	return "toucanhitch serves rarely used models. Operators control it with release notes and workspace keys."
}

// Epilogue implements go-arg's epilogued interface.
func (Arguments) Epilogue() string {
	return "Settings can also be given by the environment variables that the help lists. " +
		"Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another release note, " +
		"4 change may have been accepted, 5 platform or node unavailable. See docs/OPERATIONS.md."
}

// PlatformOptions are the options of commands that read or write the change log.
type PlatformOptions struct {
	Platform string `arg:"--platform,env:TOUCANHITCH_PLATFORM" help:"IP:port of the platform's object API" placeholder:"IP:PORT"`
	Actor    string `arg:"--actor,env:TOUCANHITCH_ACTOR" help:"name of the operator in the audit trail" placeholder:"NAME"`
}

// environment holds the context, the clock and the output streams of a command.
type environment struct {
	ctx    context.Context
	clock  clockwork.Clock
	stdout io.Writer
	// stderr receives progress and errors.
	stderr io.Writer
}

// subcommand is a parsed subcommand.
type subcommand interface {
	run(environment) error
}

// Main parses the arguments, runs the command until it finishes or ctx ends, and
// returns the exit code.
func Main(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var parsed Arguments
	parser, err := arg.NewParser(arg.Config{Program: "toucanhitch", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	err = parser.Parse(arguments)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitDone
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "toucanhitch:", err)
		return ExitInvalid
	}
	selected, ok := parser.Subcommand().(subcommand)
	if !ok {
		parser.WriteHelp(stderr)
		return ExitInvalid
	}
	env := environment{ctx: ctx, clock: clockwork.NewRealClock(), stdout: stdout, stderr: stderr}
	return exitCode(selected.run(env), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(stderr, "toucanhitch:", err)
	if advice := hint(err); advice != "" {
		fmt.Fprintln(stderr, advice)
	}
	switch {
	case errors.Is(err, releaser.ErrConflict):
		return ExitConflict
	case errors.Is(err, storer.ErrUncertain):
		return ExitUncertain
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, publisher.ErrContended), errors.Is(err, publisher.ErrUnconfirmed), errors.Is(err, ErrNotInForce), errors.Is(err, messenger.ErrUnreachable):
		return ExitUnavailable
	case errors.Is(err, ErrSettings), errors.Is(err, platform.ErrSettings), errors.Is(err, supervisor.ErrSettings), errors.Is(err, releaser.ErrInvalid), errors.Is(err, releaser.ErrUnknown),
		errors.Is(err, explainer.ErrInvalid), errors.Is(err, encoder.ErrMalformed), errors.Is(err, encoder.ErrTooLarge), errors.Is(err, os.ErrNotExist):
		return ExitInvalid
	default:
		return ExitFailed
	}
}

// hint returns advice to the operator on how to proceed after an error, or "".
func hint(err error) string {
	switch {
	case errors.Is(err, releaser.ErrConflict):
		return "Read what was accepted with \"toucanhitch audit\", adjust the note, and set its Base to the note version in force."
	case errors.Is(err, storer.ErrUncertain):
		return "The change may have been accepted. Look for it with \"toucanhitch audit\" before trying again."
	case errors.Is(err, storer.ErrUnavailable):
		return "The platform cannot be reached, so nothing was changed. Check --platform and try again."
	case errors.Is(err, publisher.ErrUnconfirmed):
		return "Changes may be missing in the copy. Relays write them again and confirm the log about 5 s after they reach the object API; check that nodes are running."
	case errors.Is(err, ErrNotInForce):
		return "The nodes named above apply the accepted change once they can be reached. A node that is cut off refuses keyed requests after 8 s; a node that has left counts until the platform removes it from its list."
	default:
		return ""
	}
}
