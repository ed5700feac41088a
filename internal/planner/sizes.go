package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// formerSizeRetention is the time for which the former size of a model is kept although no listed
// replica holds the model with it. Replicas may leave the list for a while.
const formerSizeRetention = 10 * time.Minute

// FormerSize is the size with which replicas may still hold a model, although the configuration
// lists a smaller one or none. Replicas report neither sizes nor when they loaded a model.
type FormerSize struct {
	ModelKey
	Size
}

// formerSize is the size with which replicas may hold a model. SeenAt is when that was last the
// case as far as this node knows.
type formerSize struct {
	Size
	SeenAt time.Time
}

// larger returns the larger one of two sizes in each respect.
func (s Size) larger(other Size) Size {
	return Size{MemoryMB: max(s.MemoryMB, other.MemoryMB), AdapterMB: max(s.AdapterMB, other.AdapterMB)}
}

// exceeds reports whether a size is larger than another one in any respect.
func (s Size) exceeds(other Size) bool {
	return s.MemoryMB > other.MemoryMB || s.AdapterMB > other.AdapterMB
}

// setConfiguration puts a configuration in force and records the sizes of the models that are
// smaller in it or not listed any more.
func (c *Controller) setConfiguration(now time.Time, next *resolver.Configuration) {
	previous := c.Configuration
	c.Configuration = next
	if previous == nil || previous == next {
		return
	}
	for service, description := range previous.Services {
		if description.Engine == nil {
			continue
		}
		for name := range description.Engine.Models {
			c.addFormerSize(now, FormerSize{ModelKey{service, name}, listedSize(description.Engine, name)})
		}
	}
}

// addFormerSize records a size with which replicas may hold a model, unless the configuration
// lists one that is as large.
func (c *Controller) addFormerSize(now time.Time, former FormerSize) {
	if former.Size.exceeds(listedSize(c.engine(former.Service), former.Model)) {
		c.FormerSizes[former.ModelKey] = formerSize{former.Size.larger(c.FormerSizes[former.ModelKey].Size), now}
	}
}

// sizeOfUnknown returns the size of a model of a replica of which it is not known with which
// configuration it loaded the model.
func (c *Controller) sizeOfUnknown(service, model string) Size {
	listed := listedSize(c.engine(service), model)
	if listed == (Size{}) {
		return Size{}
	}
	return listed.larger(c.FormerSizes[ModelKey{service, model}].Size)
}

// reviewFormerSizes forgets the former sizes with which no replica has held the model for
// formerSizeRetention, and those that the configuration lists again.
func (c *Controller) reviewFormerSizes(now time.Time) {
	if len(c.FormerSizes) == 0 {
		return
	}
	for _, endpoint := range c.Tenure.Endpoints {
		for name, resident := range endpoint.Models {
			key := ModelKey{endpoint.Entry.Service, name}
			if former, ok := c.FormerSizes[key]; ok && resident.Size.exceeds(listedSize(c.engine(key.Service), name)) {
				c.FormerSizes[key] = formerSize{former.Size, now}
			}
		}
	}
	maps.DeleteFunc(c.FormerSizes, func(key ModelKey, former formerSize) bool {
		return now.Sub(former.SeenAt) > formerSizeRetention || !former.exceeds(listedSize(c.engine(key.Service), key.Model))
	})
}

// storedFormerSizes returns the former sizes that the next holder has to know, sorted.
func (c *Controller) storedFormerSizes() []FormerSize {
	var stored []FormerSize
	for key, former := range c.FormerSizes {
		stored = append(stored, FormerSize{key, former.Size})
	}
	slices.SortFunc(stored, func(a, b FormerSize) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return stored
}
