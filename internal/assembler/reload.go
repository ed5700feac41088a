package assembler

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/platform"
)

// settingsCheckInterval is the time between two checks of the settings file,
// which may change without a signal.
const settingsCheckInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and when the file has
// changed. If the file is invalid, the current settings stay in force.
func (n *Node) watchSettings(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := n.clock.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastState := readFileState(n.settings.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			lastState = readFileState(n.settings.SettingsPath)
			n.reloadSettings("SIGHUP")
		case <-ticker.Chan():
			if state := readFileState(n.settings.SettingsPath); state != lastState {
				lastState = state
				n.reloadSettings("file changed")
			}
		}
	}
}

// fileState is compared to detect changes of a file.
type fileState struct {
	size     int64
	modified time.Time
}

func readFileState(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.Size(), info.ModTime()}
}

// reloadSettings applies the bounds in the settings file. Changes of other
// settings, such as the listen addresses and the store's address, take effect
// only after a restart.
func (n *Node) reloadSettings(cause string) {
	fields := logrus.Fields{"Cause": cause}
	settings, err := platform.ReadSettings(n.settings.SettingsPath)
	if err != nil {
		n.logger.WithFields(fields).WithError(err).Error("settings not reloaded; the previous settings stay in force")
		return
	}
	previous := n.bounds.Swap(&settings.Bounds)
	if configuration, _ := n.view.Configuration(); *previous != settings.Bounds {
		n.setColdRules(configuration)
	}
	fields["Changed"] = *previous != settings.Bounds
	startupSettings := n.settings.Settings
	startupSettings.Bounds = settings.Bounds
	startupSettings.Bounds.EvacuateWithin = n.settings.Bounds.EvacuateWithin
	fields["RestartNeeded"] = !reflect.DeepEqual(startupSettings, settings)
	n.logger.WithFields(fields).Info("settings reloaded")
}

// maxKeyAge returns the maximum time since the configuration was last known to
// be the newest for which keys are accepted.
func (n *Node) maxKeyAge() time.Duration { return n.bounds.Load().RevokeWithin - transitMargin }
