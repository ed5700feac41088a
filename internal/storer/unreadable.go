package storer

import (
	"sync"
	"sync/atomic"
)

// maxReported bounds the names that Unreadable remembers. Beyond it, it forgets them all.
const maxReported = 1000

// Unreadable reports each entry of the store that cannot be decoded once. It may be used
// concurrently. The zero value reports nothing.
type Unreadable struct {
	// Report is called once for each entry. It must not block.
	Report func(kind, name string, err error)

	names sync.Map
	count atomic.Int64
}

// Add reports an entry unless it was reported before.
func (u *Unreadable) Add(kind, name string, err error) {
	if u.Report == nil {
		return
	}
	if _, known := u.names.LoadOrStore(kind+"/"+name, true); known {
		return
	}
	if u.count.Add(1) > maxReported {
		u.count.Store(0)
		u.names.Clear()
	}
	u.Report(kind, name, err)
}
