package configurer

import (
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// View is the published configuration that requests use. Requests read it
// without a lock; only the configurer's task writes it.
type View struct {
	clock    clockwork.Clock
	inForce  atomic.Pointer[publishedConfiguration]
	contacts atomic.Pointer[Contacts]
}

type publishedConfiguration struct {
	configuration *releaser.Configuration
	// replaced is closed when a newer configuration has been published.
	replaced chan struct{}
}

// NewView returns a view with the empty configuration in force.
func NewView(clock clockwork.Clock) *View {
	view := &View{clock: clock}
	view.inForce.Store(&publishedConfiguration{configuration: releaser.Empty(), replaced: make(chan struct{})})
	view.contacts.Store(&Contacts{})
	return view
}

// Configuration returns the configuration in force.
func (v *View) Configuration() *releaser.Configuration {
	return v.inForce.Load().configuration
}

// Changed returns a channel that is closed when the configuration in force is
// replaced.
func (v *View) Changed() <-chan struct{} {
	return v.inForce.Load().replaced
}

// Current reports whether this node has evidence that its configuration is up
// to date.
func (v *View) Current() bool {
	return v.contacts.Load().Current(v.clock.Now())
}

// Contacts returns the contacts on which Current is based.
func (v *View) Contacts() Contacts {
	return *v.contacts.Load()
}

func (v *View) publish(configuration *releaser.Configuration) {
	previous := v.inForce.Swap(&publishedConfiguration{configuration: configuration, replaced: make(chan struct{})})
	close(previous.replaced)
}

func (v *View) publishContacts(contacts Contacts) {
	v.contacts.Store(&contacts)
}
