package router

// maxGain limits the part of the free slots that one of several nodes takes
// between two reports. At 1/2, a single busy node has 94% of an idle endpoint
// after four reports at full gain.
const maxGain = 0.5

// Share is the part of an endpoint's slots that this node may use.
type Share struct {
	// Limit is the number of slots. If it falls below the number in use, slots
	// that become free are not used again.
	Limit int
	// Gain is the part of the free slots that the node takes on a report.
	Gain float64
	// RoundingOffset decides whether a fraction of a slot is rounded up or
	// down. It is random, but kept for several reports. With a new offset on
	// every report the limit rises briefly again and again, each time long
	// enough to admit one more request, so that 7 nodes kept 1.5 times the
	// slots in use.
	RoundingOffset float64
}

// offsetReports is the mean number of reports for which a rounding offset is
// kept, several times the duration of a request.
const offsetReports = 32

// ShareInput is what a share is adapted to when a report arrives.
type ShareInput struct {
	// Slots and Queued are reported by the endpoint.
	Slots  int
	Queued int
	// OwnRequests is the number of own requests at the endpoint now,
	// OtherRequests the expected number of other nodes' requests.
	OwnRequests   int
	OtherRequests float64
	// NodeCount is the number of nodes that may send requests, at least 1.
	NodeCount int
	// LimitReached is whether requests had to wait because the limit was
	// reached.
	LimitReached bool
}

// Adapt returns the share after a report. A queue at the endpoint means that
// the nodes together send too many requests: nodes above the equal share reduce
// theirs. Otherwise, while a node needs more slots, it takes a part of the free
// slots that starts at 1/nodes and doubles with every report. Together the
// nodes then take about the free slots, and a single busy node soon takes
// nearly all of them. Every node keeps the equal share. Fractions are rounded
// at random, so that with more nodes than slots only some of the nodes send at
// a time.
func (s Share) Adapt(input ShareInput, source *Source) Share {
	slots, nodes := float64(input.Slots), float64(max(1, input.NodeCount))
	ownRequests := float64(input.OwnRequests)
	free := slots - input.OtherRequests - ownRequests
	equalShare := slots / nodes
	s.Gain = nextGain(s.Gain, input, nodes)
	limit := ownRequests + s.Gain*max(0, free)
	if input.Queued > 0 {
		limit = ownRequests * slots / max(slots, input.OtherRequests+ownRequests)
	}
	if s.RoundingOffset == 0 || source.IntN(offsetReports) == 0 {
		s.RoundingOffset = source.Float64()
	}
	s.Limit = min(input.Slots, int(max(limit, equalShare)+s.RoundingOffset))
	if free >= 1 {
		// An idle endpoint serves a first request immediately, regardless of
		// the number of nodes.
		s.Limit = max(s.Limit, 1)
	}
	return s
}

func nextGain(last float64, input ShareInput, nodes float64) float64 {
	least, most := 1/nodes, max(maxGain, 1/nodes)
	next := last / 2
	if input.Queued == 0 && input.LimitReached {
		next = last * 2
	}
	return min(max(next, least), most)
}
