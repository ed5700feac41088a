package releaser

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Limits of the values in a note.
const (
	maxMemoryMB = 8 << 20 // 8 TiB
	maxReplicas = 10_000
	maxRate     = 1e9 // tokens/s
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{3,10}$`)
)

// Validate checks a note as a whole against the configuration in force. It
// returns nil or an ErrInvalid that lists every violation, one per line, with its
// location and the values that are allowed.
func Validate(current *Configuration, note Note) error {
	checker := noteChecker{next: current.clone()}
	checker.checkName("Name", note.Name)
	checker.checkModels(note.Models)
	checker.checkAdapters(note.Adapters)
	checker.checkServices(note.Services)
	checker.checkWorkspaces(note.Workspaces)
	if len(note.Models)+len(note.Adapters)+len(note.Services)+len(note.Workspaces) == 0 {
		checker.addViolation("Note", "has no entries; want at least one model, adapter, service or workspace")
	}
	checker.next.applyNote(note)
	checker.checkReferences()
	if len(checker.violations) > 0 {
		return merry.Wrap(ErrInvalid, merry.AppendMessage("\n"+strings.Join(checker.violations, "\n")))
	}
	return nil
}

// noteChecker collects the violations in one note.
type noteChecker struct {
	// next is a copy of the configuration in force. Validate applies the note to
	// it before checkReferences.
	next       *Configuration
	violations []string
}

func (c *noteChecker) addViolation(location, format string, arguments ...any) {
	c.violations = append(c.violations, location+": "+fmt.Sprintf(format, arguments...))
}

func (c *noteChecker) checkName(location, value string) {
	if !namePattern.MatchString(value) {
		c.addViolation(location, "%q is not a valid name; want 1 to 100 letters, digits, dots, underscores or hyphens", value)
	}
}

// checkAction checks that the action of an entry is valid, that its key is in
// force or not as the action requires, and that no earlier entry of the note has
// the same key.
func (c *noteChecker) checkAction(location string, action Action, key string, inForce bool, seen map[string]bool) {
	switch {
	case action != Add && action != Alter && action != Withdraw:
		c.addViolation(location+".Action", "%q is not allowed; want Add, Change or Withdraw", action)
	case action == Add && inForce:
		c.addViolation(location, "%q is in force already; use Change", key)
	case action != Add && !inForce:
		c.addViolation(location, "%q is not in force; use Add", key)
	}
	if seen[key] {
		c.addViolation(location, "%q appears twice in the note", key)
	}
	seen[key] = true
}

func (c *noteChecker) checkRange(location string, value, low, high float64, unit string) {
	if !(value >= low && value <= high) {
		c.addViolation(location, "%s is out of range; want %s to %s %s", formatNumber(value), formatNumber(low), formatNumber(high), unit)
	}
}

// formatNumber formats a number without an exponent.
func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func (c *noteChecker) checkModels(entries []ModelEntry) {
	seen := map[string]bool{}
	for i, entry := range entries {
		location := fmt.Sprintf("Models[%d]", i)
		c.checkName(location+".Name", entry.Name)
		c.checkName(location+".Version", entry.Version)
		key := Key(entry.Name, entry.Version)
		_, inForce := c.next.Models[key]
		c.checkAction(location, entry.Action, key, inForce, seen)
		if entry.Action != Withdraw {
			c.checkRange(location+".MemoryMB", float64(entry.MemoryMB), 1, maxMemoryMB, "MiB")
			c.checkRange(location+".Replicas", float64(entry.Replicas), 1, maxReplicas, "replicas")
		}
	}
}

func (c *noteChecker) checkAdapters(entries []AdapterEntry) {
	seen := map[string]bool{}
	for i, entry := range entries {
		location := fmt.Sprintf("Adapters[%d]", i)
		c.checkName(location+".Name", entry.Name)
		c.checkName(location+".Version", entry.Version)
		key := Key(entry.Name, entry.Version)
		_, inForce := c.next.Adapters[key]
		c.checkAction(location, entry.Action, key, inForce, seen)
		if entry.Action != Withdraw {
			c.checkRange(location+".MemoryMB", float64(entry.MemoryMB), 1, maxMemoryMB, "MiB")
		}
	}
}

func (c *noteChecker) checkServices(entries []ServiceEntry) {
	seen := map[string]bool{}
	for i, entry := range entries {
		location := fmt.Sprintf("Services[%d]", i)
		c.checkName(location+".Name", entry.Name)
		_, inForce := c.next.Services[entry.Name]
		c.checkAction(location, entry.Action, entry.Name, inForce, seen)
		if entry.Action != Withdraw {
			c.checkRoutes(location, entry.Routes)
		}
	}
}

func (c *noteChecker) checkRoutes(location string, routes []Route) {
	if len(routes) == 0 {
		c.addViolation(location+".Routes", "is empty; want at least one route")
	}
	seen := map[string]bool{}
	for i, route := range routes {
		routeLocation := fmt.Sprintf("%s.Routes[%d]", location, i)
		if !methodPattern.MatchString(route.Method) {
			c.addViolation(routeLocation+".Method", "%q is not an HTTP method in upper case", route.Method)
		}
		if !strings.HasPrefix(route.Path, "/") {
			c.addViolation(routeLocation+".Path", "%q does not start with a slash", route.Path)
		}
		key := route.Method + " " + route.Path
		if seen[key] {
			c.addViolation(routeLocation, "%q appears twice in the service", key)
		}
		seen[key] = true
	}
}

func (c *noteChecker) checkWorkspaces(entries []WorkspaceEntry) {
	seen := map[string]bool{}
	for i, entry := range entries {
		location := fmt.Sprintf("Workspaces[%d]", i)
		c.checkName(location+".Name", entry.Name)
		_, inForce := c.next.Workspaces[entry.Name]
		c.checkAction(location, entry.Action, entry.Name, inForce, seen)
		if entry.Action != Withdraw {
			c.checkRange(location+".Rate", entry.Rate, 1, maxRate, "tokens/s")
			c.checkRange(location+".Burst", entry.Burst, 1, maxRate, "tokens")
			c.checkRange(location+".Weight", entry.Weight, 0, 1000, "")
		}
	}
}

// checkReferences checks the configuration that would result: the model of every
// adapter must be in force, and a model and an adapter must not have the same
// name.
func (c *noteChecker) checkReferences() {
	models := map[string]bool{}
	for _, model := range c.next.Models {
		models[model.Name] = true
	}
	for _, key := range slices.Sorted(maps.Keys(c.next.Adapters)) {
		adapter := c.next.Adapters[key]
		model := Key(adapter.Model, adapter.ModelVersion)
		if _, ok := c.next.Models[model]; !ok {
			c.addViolation("Adapters", "%q extends model %q, which would not be in force", key, model)
		}
		if models[adapter.Name] {
			c.addViolation("Adapters", "%q has the name of a model", key)
		}
	}
}

func validateGrant(current *Configuration, grant Grant) error {
	if _, ok := current.Workspaces[grant.Workspace]; !ok {
		return wrapf(ErrInvalid, "workspace %q is not in force", grant.Workspace)
	}
	if !digestPattern.MatchString(grant.Digest) {
		return wrapf(ErrInvalid, "digest is not 64 lower-case hexadecimal digits")
	}
	if _, ok := current.Grants[grant.Digest]; ok {
		return wrapf(ErrInvalid, "the key is granted already")
	}
	if _, ok := current.grantDigest(grant.ID); ok || grant.ID == "" {
		return wrapf(ErrInvalid, "grant ID %q is empty or taken", grant.ID)
	}
	return nil
}
