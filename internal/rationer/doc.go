// Package rationer keeps every workspace within its limit, over all nodes.
//
// Each node counts what it takes itself at once and what the others took when
// the holder of the placement lease tells of it. A node that hears nothing of
// the others keeps to an equal share, so that the sum stays within the limit
// whoever is cut off. No call of the store and no wait lies on the way of a
// request.
package rationer
