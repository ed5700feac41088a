package supervisor

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// reportItem is a load report in transfer between nodes. AgeMS replaces
// Measured, since the clocks of two nodes are not comparable.
type reportItem struct {
	Report tracker.Report
	AgeMS  int64
}

// leaseholderItem identifies the node that holds a lease.
type leaseholderItem struct {
	Node    string
	Address string
	Epoch   uint64
}

// placementItem lists the model loads in progress in a region.
type placementItem struct{ Loads []loadItem }

type loadItem struct {
	Model    string
	Endpoint string
	AgeMS    int64
}

// publishItem publishes an item of this node. If version is 0, the item gets
// the node's wall-clock time in nanoseconds as its version, which orders the
// items of one publisher.
func (n *Node) publishItem(kind spreader.Kind, name string, version uint64, scope spreader.Scope, value []byte) {
	if version == 0 {
		version = uint64(n.clock.Now().UnixNano())
	}
	item := spreader.Item{Kind: kind, Name: name, Version: version, Scope: scope, Value: value}
	n.logPostError("spreader", n.spreader.Post(spreader.Publish{Item: item}))
}

// logPostError logs a message that a task did not accept. All messages
// reported here are either repeated or superseded by a later one.
func (n *Node) logPostError(task string, err error) {
	if err != nil {
		n.logger.WithError(err).WithField("Task", task).Warn("message was not accepted by the task")
	}
}

// postRetryInterval is the time between two attempts of postWithRetry.
const postRetryInterval = 50 * time.Millisecond

// postWithRetry delivers a message that no other message repeats or
// supersedes: while the task's inbox is full, it retries in the background.
// Each attempt calls post again, which builds the message from the current
// state, so an older state never follows a newer one.
func (n *Node) postWithRetry(task string, post func() error) {
	err := post()
	if !errors.Is(err, runner.ErrFull) {
		return
	}
	n.logPostError(task, err)
	go func() {
		for errors.Is(post(), runner.ErrFull) {
			<-n.clock.After(postRetryInterval)
		}
	}()
}

func (n *Node) pushChanges(version uint64, changes []releaser.Change) {
	item := configurer.ChangesItem(version, changes)
	n.logPostError("spreader", n.spreader.Post(spreader.Publish{Item: item}))
}

func (n *Node) pushList(list tracker.InstanceList) {
	n.publishItem(spreader.List, "", list.Version, spreader.DataCentre, encoder.Encode(list))
}

func (n *Node) pushReport(report tracker.Report) {
	item := reportItem{Report: report, AgeMS: n.clock.Since(report.Measured).Milliseconds()}
	item.Report.Measured = time.Time{}
	n.publishItem(spreader.Report, report.Endpoint, 0, spreader.Region, encoder.Encode(item))
}

func (n *Node) pushPlacement(view placer.View) {
	if !view.Leading {
		return
	}
	item := placementItem{Loads: []loadItem{}}
	for endpoint, placement := range view.Placement.Endpoints {
		for _, entry := range placement.Entries {
			if entry.State == tracker.Loading && entry.Adapter == "" {
				age := n.clock.Since(entry.Since).Milliseconds()
				item.Loads = append(item.Loads, loadItem{Model: entry.Model, Endpoint: endpoint, AgeMS: max(age, 0)})
			}
		}
	}
	n.applyPlacement(item)
	n.publishItem(spreader.Placement, n.settings.Region, 0, spreader.Region, encoder.Encode(item))
}

func (n *Node) applyPlacement(item placementItem) {
	now := n.clock.Now()
	var loads []scheduler.Load
	for _, load := range item.Loads {
		since := now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
		loads = append(loads, scheduler.Load{Model: load.Model, Endpoint: load.Endpoint, StartedAt: since})
	}
	n.logPostError("scheduler", n.scheduler.Post(scheduler.PlacementChanged{Loads: loads}))
}

// deliver passes an item from another node to the task that uses it.
func (n *Node) deliver(item spreader.Item) {
	if err := n.deliverItem(item); err != nil {
		n.logger.WithError(err).WithFields(logrus.Fields{
			"Kind": item.Kind, "Name": item.Name, "Origin": item.Origin,
		}).Warn("item was not delivered")
	}
}

func (n *Node) deliverItem(item spreader.Item) error {
	switch item.Kind {
	case spreader.Changes:
		changes, err := parser.DecodeChanges(item.Value)
		if err != nil {
			return err
		}
		return n.configurer.Post(configurer.ChangesPushed{Changes: changes})
	case spreader.List:
		return deliverDecoded(item, func(list tracker.InstanceList) error {
			return n.tracker.Post(tracker.ListPushed{List: list})
		})
	case spreader.Report:
		return deliverDecoded(item, n.deliverReport)
	case spreader.Events:
		return deliverDecoded(item, n.deliverEvents)
	case spreader.Load:
		return deliverDecoded(item, func(load tracker.NodeLoad) error {
			return n.tracker.Post(tracker.LoadPushed{Load: load})
		})
	case spreader.Leaseholder:
		return deliverDecoded(item, func(holder leaseholderItem) error {
			n.holderChanged(item.Name, holder)
			return nil
		})
	case spreader.Placement:
		return deliverDecoded(item, func(placement placementItem) error {
			if item.Name == n.settings.Region {
				n.applyPlacement(placement)
			}
			return nil
		})
	default:
		return merry.Errorf("unknown item kind %q", item.Kind)
	}
}

func deliverDecoded[T any](item spreader.Item, deliver func(T) error) error {
	value, err := encoder.DecodeLenient[T](item.Value)
	if err != nil {
		return err
	}
	return deliver(value)
}

func (n *Node) deliverReport(item reportItem) error {
	report := item.Report
	report.Measured = n.clock.Now().Add(-time.Duration(item.AgeMS) * time.Millisecond)
	return n.tracker.Post(tracker.ReportPushed{Report: report})
}
