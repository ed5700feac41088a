package assembler

import "context"

// handLeaseOver releases the placement lease, of which the planner makes no use any more.
// Unlike at the end of the node, its requests go on.
func (n *Node) handLeaseOver() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseTiming.Duration)
		defer cancel()
		released, err := n.leaser.Release(ctx, placementLease, n.releaseData())
		if err != nil || !released {
			n.logger.WithError(err).Warn("placement lease was not handed over; it will expire")
		}
	}()
}

// regainCandidacy makes the node a candidate for the placement lease again.
func (n *Node) regainCandidacy() {
	if !n.draining.Load() {
		n.logPostError("leaser", n.leaser.Resume(placementLease))
	}
}

// logUnreadableLease counts the reads of a lease that this build cannot decode, and logs the
// first. The lease is neither taken nor followed meanwhile.
func (n *Node) logUnreadableLease(lease string, err error) {
	const text = "lease of an unknown form is left alone"
	n.meter.RecordChange("leaser", text)
	if n.leaseUnreadable.CompareAndSwap(false, true) {
		n.logger.WithField("Lease", lease).WithError(err).Error(text)
	}
}
