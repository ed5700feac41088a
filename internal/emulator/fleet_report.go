package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

type fleetModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// Entry returns the replica's entry in the store, with the given state.
func (r *FleetReplica) Entry(state string) map[string]any {
	entry := map[string]any{}
	r.executor.do(func() {
		entry = r.describe()
		entry["service"], entry["address"], entry["zone"] = r.settings.Service, r.settings.Address, r.settings.Zone
		entry["version"] = r.settings.Version
		entry["slots"], entry["state"], entry["seq"] = r.settings.Slots, state, r.servedRequests
	})
	return entry
}

func (r *FleetReplica) describe() map[string]any {
	models := []fleetModel{}
	for name := range r.loaded {
		models = append(models, fleetModel{Name: name, Version: 1, Adapters: []string{}})
	}
	slices.SortFunc(models, func(a, b fleetModel) int { return strings.Compare(a.Name, b.Name) })
	return map[string]any{
		"models": models, "born": r.startedAtMs, "stage": "unified",
		"available": map[string]any{"in-memory": []string{}, "on-disk": slices.Clone(r.onDisk)},
	}
}

func (r *FleetReplica) serveReport(w http.ResponseWriter) {
	report := map[string]any{}
	r.executor.do(func() {
		report = r.describe()
		report["busy"], report["seq"], report["pending"] = r.loading != "", r.orderSequence, []string{}
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
