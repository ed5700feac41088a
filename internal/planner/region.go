package planner

import (
	"slices"
	"strings"
	"time"
)

// DataCentres is a sorted list of data centres, joined by commas so that it can be part of a
// map key. An empty one stands for all data centres.
type DataCentres string

func joinDataCentres(names []string) DataCentres { return DataCentres(strings.Join(names, ",")) }

// allows reports whether an endpoint is in one of the data centres.
func (d DataCentres) allows(e *Endpoint) bool {
	return d == "" || slices.Contains(strings.Split(string(d), ","), e.Entry.DataCentre)
}

// Scope restricts the replicas that may serve what requests wait for.
type Scope struct {
	DataCentres DataCentres
	// Version is the software version of the replicas, empty for any.
	Version string
}

// allows reports whether an endpoint is in the scope.
func (s Scope) allows(e *Endpoint) bool {
	return s.DataCentres.allows(e) && (s.Version == "" || e.Entry.Version == s.Version)
}

// key returns what identifies the demand, apart from the requests that wait.
func (d Demand) key() DemandKey {
	return DemandKey{ModelKey{d.Service, d.Model}, d.Adapter, Scope{joinDataCentres(d.DataCentres), d.Version}}
}

// saturationKey identifies the replicas of a model in data centres.
type saturationKey struct {
	ModelKey
	dataCentres DataCentres
}

// recordSaturation records that all replicas of a model that a demand may use are full.
func (c *Controller) recordSaturation(now time.Time, key DemandKey) {
	c.Tenure.SaturatedAt[saturationKey{key.ModelKey, key.DataCentres}] = now
}
