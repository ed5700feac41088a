package commander

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// KeysCommand lists the keys in force.
type KeysCommand struct {
	PlatformOptions
	JSON bool `arg:"--json" help:"print JSON"`
}

// AuditCommand lists the accepted changes.
type AuditCommand struct {
	PlatformOptions
	Since uint64 `arg:"--since" help:"only changes after this version" placeholder:"VERSION"`
	JSON  bool   `arg:"--json" help:"print JSON"`
}

// keyRow is a key as it is listed for operators: the ID of its grant and its
// workspace.
type keyRow struct {
	Key       string
	Workspace string
}

func (c *KeysCommand) run(env environment) error {
	if err := c.check(false); err != nil {
		return err
	}
	publisher, cleanUp := c.publisher(env)
	defer cleanUp()
	log, err := publisher.Read(env.ctx)
	if err != nil {
		return err
	}
	keys := []keyRow{}
	for grant := range maps.Values(log.Configuration.Grants) {
		keys = append(keys, keyRow{Key: grant.ID, Workspace: grant.Workspace})
	}
	slices.SortFunc(keys, func(a, b keyRow) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	if c.JSON {
		return printJSON(env, keys)
	}
	return printTable(env, "KEY\tWORKSPACE", keys, func(key keyRow) string {
		return key.Key + "\t" + key.Workspace
	})
}

func (c *AuditCommand) run(env environment) error {
	if err := c.check(false); err != nil {
		return err
	}
	publisher, cleanUp := c.publisher(env)
	defer cleanUp()
	changes, err := publisher.Audit(env.ctx, c.Since)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintln(env.stdout, string(parser.EncodeChanges(changes)))
		return err
	}
	return printTable(env, "FROM\tTO\tTIME\tACTOR\tCHANGE", changes, func(change releaser.Change) string {
		return fmt.Sprintf("%d\t%d\t%s\t%s\t%s", change.Version-1, change.Version,
			change.Time.Format(time.RFC3339), change.Actor, describeChange(change.Body))
	})
}

func describeChange(body releaser.Body) string {
	switch body := body.(type) {
	case releaser.ApplyNote:
		note := body.Note
		return fmt.Sprintf("release note %q: %d models, %d adapters, %d services, %d workspaces",
			note.Name, len(note.Models), len(note.Adapters), len(note.Services), len(note.Workspaces))
	case releaser.GrantKey:
		return fmt.Sprintf("granted key %s to workspace %s", body.Grant.ID, body.Grant.Workspace)
	case releaser.WithdrawKey:
		return fmt.Sprintf("withdrew key %s", body.GrantID)
	default:
		return fmt.Sprintf("%T", body)
	}
}

func printJSON(env environment, value any) error {
	_, err := fmt.Fprintln(env.stdout, string(encoder.Encode(value)))
	return err
}

func printTable[T any](env environment, header string, rows []T, line func(T) string) error {
	table := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, header)
	for _, row := range rows {
		fmt.Fprintln(table, line(row))
	}
	return table.Flush()
}
