package placer

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

func (p *Placer) handleConfigurationChanged(now time.Time, next *releaser.Configuration) {
	if p.Configuration != nil && next.Version <= p.Configuration.Version {
		return
	}
	p.Configuration = next
	p.ModelKeys = slices.Sorted(maps.Keys(next.Models))
	p.Shares = make(map[string]int, len(next.Models))
	for key, model := range next.Models {
		p.Shares[key] = Share(model, p.Settings.Regions, p.Settings.Region)
	}
	for model := range p.Activities {
		if !p.inForce(Key{Model: model}) {
			delete(p.Activities, model)
		}
	}
	for key := range p.AdapterLastUse {
		if !p.inForce(key) {
			delete(p.AdapterLastUse, key)
		}
	}
	p.PlanAt = now
}

// handleFleetChanged adopts a view of the fleet unless its list version is
// older than the current one.
func (p *Placer) handleFleetChanged(now time.Time, fleet tracker.Fleet) {
	if fleet.ListVersion < p.ListVersion {
		return
	}
	next := make(map[string]tracker.Endpoint, len(p.Endpoints))
	for _, endpoint := range fleet.Endpoints {
		if endpoint.Kind != tracker.Engine || endpoint.Region != p.Settings.Region {
			continue
		}
		next[endpoint.Name] = p.trackReport(now, endpoint)
	}
	for name := range p.ReportHistories {
		if _, ok := next[name]; !ok {
			delete(p.ReportHistories, name)
		}
	}
	if fleet.ListVersion > p.ListVersion || len(next) != len(p.EndpointNames) {
		p.EndpointNames = slices.Sorted(maps.Keys(next))
	}
	p.ListVersion, p.Endpoints = fleet.ListVersion, next
	p.observeUse(now)
	if latestPlan := now.Add(planInterval); p.PlanAt.After(latestPlan) {
		p.PlanAt = latestPlan
	}
}

// trackReport tracks the sequence numbers of an endpoint's reports. A lower
// sequence in a report measured later means that the endpoint restarted. A
// report measured earlier was overtaken; the newer one is kept.
func (p *Placer) trackReport(now time.Time, endpoint tracker.Endpoint) tracker.Endpoint {
	report := endpoint.Report
	if report == nil {
		return endpoint
	}
	history, known := p.ReportHistories[endpoint.Name]
	if known && report.Measured.Before(history.Measured) {
		endpoint.Report = p.Endpoints[endpoint.Name].Report
		return endpoint
	}
	if known && report.Sequence < history.Sequence {
		history.Restarted = now
	}
	history.Sequence, history.Measured = report.Sequence, report.Measured
	p.ReportHistories[endpoint.Name] = history
	return endpoint
}

// observeUse records which models and adapters have been used since the
// previous reports.
func (p *Placer) observeUse(now time.Time) {
	for _, name := range p.EndpointNames {
		report := p.Endpoints[name].Report
		if report == nil {
			continue
		}
		for _, model := range report.Models {
			key := Key{Model: model.Model}
			p.observeEntry(now, EntryID{name, key}, model.Served, busy(report, key))
			for _, adapter := range model.Adapters {
				key := Key{Model: model.Model, Adapter: adapter.Adapter}
				p.observeEntry(now, EntryID{name, key}, adapter.Served, adapter.Running > 0)
			}
		}
	}
}

func (p *Placer) observeEntry(now time.Time, id EntryID, served uint64, running bool) {
	record, ok := p.Records[id]
	if running || (ok && served > record.Served) {
		p.recordUse(now, id.Key)
	}
	if ok {
		record.Served = served
	}
}

// busy reports whether a model or adapter has requests at an endpoint. If the
// endpoint reports only a total, all its models count as busy.
func busy(report *tracker.Report, key Key) bool {
	if report == nil {
		return true
	}
	counted := false
	for _, model := range report.Models {
		if model.Running == 0 {
			continue
		}
		counted = true
		if model.Model == key.Model {
			return key.Adapter == "" || adapterBusy(model, key.Adapter)
		}
	}
	return !counted && report.Running+report.Queued > 0
}

func adapterBusy(model tracker.ModelState, adapter string) bool {
	for _, state := range model.Adapters {
		if state.Adapter == adapter {
			return state.Running > 0
		}
	}
	return false
}

func (p *Placer) activity(model string) *predictor.Activity {
	activity, ok := p.Activities[model]
	if !ok {
		activity = &predictor.Activity{}
		p.Activities[model] = activity
	}
	return activity
}

// recordUse records that a model or an adapter is in use.
func (p *Placer) recordUse(now time.Time, key Key) {
	if key.Adapter == "" {
		p.activity(key.Model).Observe(now)
		return
	}
	p.AdapterLastUse[key] = now
}

// lastUse returns when a model or an adapter was last in use, zero if never.
func (p *Placer) lastUse(key Key) time.Time {
	if key.Adapter == "" {
		return p.activity(key.Model).LastUse
	}
	return p.AdapterLastUse[key]
}

// reportedState returns the state that a report shows for a model or adapter,
// or "" if the report does not show it.
func reportedState(report *tracker.Report, key Key) tracker.State {
	for _, model := range report.Models {
		if model.Model != key.Model {
			continue
		}
		if key.Adapter == "" {
			return model.State
		}
		for _, adapter := range model.Adapters {
			if adapter.Adapter == key.Adapter {
				return adapter.State
			}
		}
	}
	return ""
}

// handleOrderAnswered records the result of the latest order for an entry.
func (p *Placer) handleOrderAnswered(now time.Time, answered OrderAnswered) {
	if p.InFlight[answered.Endpoint] == answered.Fence {
		delete(p.InFlight, answered.Endpoint)
	}
	record, ok := p.Records[EntryID{answered.Endpoint, answered.Key}]
	if !ok || record.Fence != answered.Fence {
		return
	}
	record.Outcome, record.AnsweredAt = answered.Outcome, now
	if answered.Outcome != Accepted {
		text := "order " + string(answered.Outcome)
		if answered.Detail != "" {
			text += ": " + answered.Detail
		}
		p.addWarning(now, answered.Endpoint, answered.Key, text)
	}
	p.PlanAt = now
}
