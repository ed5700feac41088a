package commander

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// settingErrors collects the errors in the settings, so that all of them are
// reported together.
type settingErrors []string

// add adds an error for the value of a flag. allowed describes the valid values.
func (e *settingErrors) add(flag, value, allowed string) {
	*e = append(*e, fmt.Sprintf("  %s = %q: want %s", flag, value, allowed))
}

// err returns ErrSettings with all errors, or nil.
func (e settingErrors) err() error {
	if len(e) == 0 {
		return nil
	}
	return merry.Wrap(ErrSettings, merry.AppendMessage("\n"+strings.Join(e, "\n")))
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

func (e *settingErrors) checkName(flag, value string) {
	if !namePattern.MatchString(value) {
		e.add(flag, value, "1 to 100 letters, digits, dots, underscores or hyphens")
	}
}

func (e *settingErrors) checkAddress(flag, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		e.add(flag, value, "an IP address and a port such as 10.0.0.7:8080")
	}
}

func (e *settingErrors) checkDuration(flag string, value, low, high time.Duration) {
	if value < low || value > high {
		e.add(flag, value.String(), fmt.Sprintf("a duration from %s to %s", low, high))
	}
}

func (e *settingErrors) checkNumber(flag string, value, low, high float64) {
	if !(value >= low && value <= high) {
		e.add(flag, fmt.Sprint(value), fmt.Sprintf("a number from %g to %g", low, high))
	}
}
