package commander

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// mistakes collects what is wrong with settings, so that all of it is
// reported at once.
type mistakes []string

// add notes a mistake. The name is that of the flag; env that of the variable.
func (m *mistakes) add(name, value, allowed string) {
	*m = append(*m, fmt.Sprintf("  %s = %q: want %s", name, value, allowed))
}

// err returns ErrSettings with all mistakes, or nil.
func (m mistakes) err() error {
	if len(m) == 0 {
		return nil
	}
	return merry.Wrap(ErrSettings, merry.AppendMessage("\n"+strings.Join(m, "\n")))
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

func (m *mistakes) name(flag, value string) {
	if !namePattern.MatchString(value) {
		m.add(flag, value, "1 to 100 letters, digits, dots, underscores or hyphens")
	}
}

func (m *mistakes) address(flag, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		m.add(flag, value, "an IP number and a port such as 10.0.0.7:8080")
	}
}

func (m *mistakes) duration(flag string, value, low, high time.Duration) {
	if value < low || value > high {
		m.add(flag, value.String(), fmt.Sprintf("a duration from %s to %s", low, high))
	}
}

func (m *mistakes) number(flag string, value, low, high float64) {
	if !(value >= low && value <= high) {
		m.add(flag, fmt.Sprint(value), fmt.Sprintf("a number from %g to %g", low, high))
	}
}
