package router

// maxGain bounds the part of the free slots that one of several nodes takes
// between two reports. At 1/2 a single busy node has 94% of an idle endpoint
// after four reports at full gain.
const maxGain = 0.5

// Share is the part of an endpoint's slots that this node may use.
type Share struct {
	// Limit is the number of slots. It may fall below the number in use; then
	// slots that become free are not used again.
	Limit int
	// Gain is the part of the free slots that the node takes on a report.
	Gain float64
	// RoundingOffset decides whether a fraction of a slot is rounded up or down. It is
	// drawn at random and kept for some time: drawn anew on every report, the
	// limit would go up for a moment again and again, each time long enough
	// for one more request, and 7 nodes kept 1.5 times the slots in use.
	RoundingOffset float64
}

// offsetReports is the mean number of reports for which a phase is kept, some
// times as long as a request takes.
const offsetReports = 32

// ShareInput is what a share is adapted to when a report arrives.
type ShareInput struct {
	// Slots and Queued are reported by the endpoint.
	Slots  int
	Queued int
	// OwnRequests is the number of own requests there now, and Others the expected
	// number of other nodes' requests.
	OwnRequests   int
	OtherRequests float64
	// NodeCount is the number of nodes that may send, at least 1.
	NodeCount int
	// LimitReached says that requests waited for more slots than the limit gave.
	LimitReached bool
}

// Adapt returns the share after a report. A queue at the endpoint means that
// the nodes together send too much: those above the equal share give back.
// Otherwise a node takes a part of the free slots that doubles with every
// report while it needs them, from 1/nodes, so that together the nodes take
// about what is free, and a single busy node soon nearly everything. The
// equal share stays open to every node. Fractions are rounded at random, so
// that with more nodes than slots only some of them send at a time.
func (s Share) Adapt(input ShareInput, source *Source) Share {
	slots, nodes := float64(input.Slots), float64(max(1, input.NodeCount))
	own := float64(input.OwnRequests)
	free := slots - input.OtherRequests - own
	equalShare := slots / nodes
	s.Gain = nextGain(s.Gain, input, nodes)
	limit := own + s.Gain*max(0, free)
	if input.Queued > 0 {
		limit = own * slots / max(slots, input.OtherRequests+own)
	}
	if s.RoundingOffset == 0 || source.IntN(offsetReports) == 0 {
		s.RoundingOffset = source.Float64()
	}
	s.Limit = min(input.Slots, int(max(limit, equalShare)+s.RoundingOffset))
	if free >= 1 {
		// An idle endpoint serves a first request at once, however many
		// nodes there are.
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
