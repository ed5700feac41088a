package commander

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"toucanhitch.example/toucanhitch/internal/publisher"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// CheckCommand checks a release note against the configuration in force.
type CheckCommand struct {
	PlatformOptions
	File string `arg:"positional,required" help:"release note, JSON"`
}

// ApplyCommand applies a release note.
type ApplyCommand struct {
	PlatformOptions
	File   string        `arg:"positional,required" help:"release note, JSON"`
	DryRun bool          `arg:"--dry-run" help:"show what would change without applying it"`
	Follow time.Duration `arg:"--follow" help:"wait at most this long until the note is in force on every node" placeholder:"DURATION"`
}

// GrantCommand grants a new key to a workspace.
type GrantCommand struct {
	PlatformOptions
	Workspace string `arg:"positional,required" help:"workspace of the key"`
}

// WithdrawCommand withdraws a key.
type WithdrawCommand struct {
	PlatformOptions
	Key    string        `arg:"positional,required" help:"ID of the key, as listed by \"keys\""`
	Follow time.Duration `arg:"--follow" help:"wait at most this long until the withdrawal is in force on every node" placeholder:"DURATION"`
}

// check validates the options. Actor must be set if needsActor is true.
func (p PlatformOptions) check(needsActor bool) error {
	var errs settingErrors
	errs.checkAddress("--platform", p.Platform)
	if needsActor {
		errs.checkName("--actor", p.Actor)
	}
	return errs.err()
}

// publisher returns a publisher and a function that closes its connections.
func (p PlatformOptions) publisher(env environment) (publisher.Publisher, func()) {
	store, cleanUp := storer.New(p.Platform, env.clock)
	return publisher.Publisher{Store: store, Clock: env.clock, Actor: p.Actor}, cleanUp
}

func readNote(path string) (releaser.Note, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return releaser.Note{}, merry.Wrap(err)
	}
	note, err := parser.Note(data)
	if err != nil {
		return releaser.Note{}, merry.Wrap(err, merry.PrependMessage(path))
	}
	return note, nil
}

func (c *CheckCommand) run(env environment) error {
	if err := c.check(false); err != nil {
		return err
	}
	note, err := readNote(c.File)
	if err != nil {
		return err
	}
	publisher, cleanUp := c.publisher(env)
	defer cleanUp()
	return dryRun(env, publisher, note)
}

func dryRun(env environment, publisher publisher.Publisher, note releaser.Note) error {
	log, err := publisher.Read(env.ctx)
	if err != nil {
		return err
	}
	next, err := releaser.Apply(log.Configuration, releaser.ApplyNote{Note: note})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "note %q can be applied to note version %d and would change:\n",
		note.Name, log.Configuration.NoteVersion)
	for _, line := range releaser.Difference(log.Configuration, next) {
		fmt.Fprintln(env.stdout, " ", line)
	}
	return nil
}

func (c *ApplyCommand) run(env environment) error {
	if err := c.check(!c.DryRun); err != nil {
		return err
	}
	note, err := readNote(c.File)
	if err != nil {
		return err
	}
	publisher, cleanUp := c.publisher(env)
	defer cleanUp()
	if c.DryRun {
		return dryRun(env, publisher, note)
	}
	change, err := publisher.Submit(env.ctx, releaser.ApplyNote{Note: note})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "accepted: note %q is version %d\n", note.Name, change.Version)
	return waitForVersion(env, c.PlatformOptions, change.Version, c.Follow)
}

func (c *GrantCommand) run(env environment) error {
	if err := c.check(true); err != nil {
		return err
	}
	publisher, cleanUp := c.publisher(env)
	defer cleanUp()
	key := releaser.NewKey()
	grant := releaser.Grant{
		ID:        strings.SplitN(uuid.NewString(), "-", 2)[0],
		Workspace: c.Workspace,
		Digest:    releaser.Digest(key),
	}
	change, err := publisher.Submit(env.ctx, releaser.GrantKey{Grant: grant})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stderr, "granted key %s to workspace %s, version %d; it is shown only now:\n",
		grant.ID, grant.Workspace, change.Version)
	fmt.Fprintln(env.stdout, key)
	return nil
}

func (c *WithdrawCommand) run(env environment) error {
	if err := c.check(true); err != nil {
		return err
	}
	publisher, cleanUp := c.publisher(env)
	defer cleanUp()
	change, err := publisher.Submit(env.ctx, releaser.WithdrawKey{GrantID: c.Key})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "accepted: key %s is withdrawn with version %d\n", c.Key, change.Version)
	return waitForVersion(env, c.PlatformOptions, change.Version, c.Follow)
}
