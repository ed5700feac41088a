package assembler

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/platform"
)

// settingsCheck is the time between two looks at the settings file, which may
// change without a signal.
const settingsCheck = 2 * time.Second

// reload takes over a changed settings file on SIGHUP and when the file has
// changed. A file that cannot be used leaves the settings as they are.
func (n *Node) reload(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := n.clock.NewTicker(settingsCheck)
	defer ticker.Stop()
	seen := fileVersion(n.settings.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			seen = fileVersion(n.settings.SettingsPath)
			n.readSettings("SIGHUP")
		case <-ticker.Chan():
			if now := fileVersion(n.settings.SettingsPath); now != seen {
				seen = now
				n.readSettings("file changed")
			}
		}
	}
}

// fileState tells whether a file has changed.
type fileState struct {
	size     int64
	modified time.Time
}

func fileVersion(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.Size(), info.ModTime()}
}

// readSettings puts the settings file in force. Addresses and the store's
// address stay as they are until the process starts again.
func (n *Node) readSettings(cause string) {
	fields := logrus.Fields{"Cause": cause}
	settings, err := platform.ReadSettings(n.settings.SettingsPath)
	if err != nil {
		n.logger.WithFields(fields).WithError(err).Error("settings not reloaded; the former ones stay in force")
		return
	}
	old := n.bounds.Swap(&settings.Bounds)
	fields["Changed"] = *old != settings.Bounds
	fixed := n.settings.Settings
	fixed.Bounds = settings.Bounds
	fields["RestartNeeded"] = fixed != settings
	n.logger.WithFields(fields).Info("settings reloaded")
}

// currency is the longest time since the configuration was known to be the
// newest for which keys are honoured.
func (n *Node) currency() time.Duration { return n.bounds.Load().RevokeWithin - currencyMargin }
