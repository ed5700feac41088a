package emulator

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// PlatformMessage is an input of PlatformController.
type PlatformMessage interface{ isPlatformMessage() }

// Origin identifies a call and the connection that it arrived on.
type Origin struct {
	Call runner.Call
	// Connection identifies the caller's connection, because faults can make
	// single connections silent.
	Connection string
}

// GetObject reads an object.
type GetObject struct {
	Origin
	ID storer.ID
}

// PutObject writes an object if its version is IfVersion, where 0 means that it
// must not exist.
type PutObject struct {
	Origin
	ID        storer.ID
	IfVersion uint64
	Value     []byte
}

// DeleteObject deletes an object if its version is IfVersion.
type DeleteObject struct {
	Origin
	ID        storer.ID
	IfVersion uint64
}

// ListObjects lists the objects of a kind whose names start with Prefix, without
// their values.
type ListObjects struct {
	Origin
	Kind   string
	Prefix string
}

// WatchObject waits until an object's version is above After.
type WatchObject struct {
	Origin
	ID    storer.ID
	After uint64
	Wait  time.Duration
}

// WatchInstances waits until the instance list's version is above After.
type WatchInstances struct {
	Origin
	After uint64
	Wait  time.Duration
}

// SetInstance adds an instance to the list or replaces its entry.
type SetInstance struct {
	Origin
	Instance tracker.Instance
}

// RemoveInstance removes an instance from the list.
type RemoveInstance struct {
	Origin
	Name string
}

// TransferWeights transfers a checkpoint from the weight store to an engine.
type TransferWeights struct {
	Origin
	Model   string
	Version string
	MB      float64
}

// SetPlatformFaults replaces the faults.
type SetPlatformFaults struct {
	Origin
	Faults PlatformFaults
}

// GetPlatformFaults reads the current faults.
type GetPlatformFaults struct{ Origin }

// GetPlatformCalls reads the call counters.
type GetPlatformCalls struct{ Origin }

// CopyPlatform keeps a copy of the objects and the instance list.
type CopyPlatform struct{ Origin }

// RestorePlatform replaces the objects and the instance list by the copy.
type RestorePlatform struct{ Origin }

// CancelPlatformCall reports that the caller of a pending call has disconnected.
type CancelPlatformCall struct{ Call runner.Call }

// PlatformTick is delivered at the controller's wake time.
type PlatformTick struct{}

func (GetObject) isPlatformMessage()          {}
func (PutObject) isPlatformMessage()          {}
func (DeleteObject) isPlatformMessage()       {}
func (ListObjects) isPlatformMessage()        {}
func (WatchObject) isPlatformMessage()        {}
func (WatchInstances) isPlatformMessage()     {}
func (SetInstance) isPlatformMessage()        {}
func (RemoveInstance) isPlatformMessage()     {}
func (TransferWeights) isPlatformMessage()    {}
func (SetPlatformFaults) isPlatformMessage()  {}
func (GetPlatformFaults) isPlatformMessage()  {}
func (GetPlatformCalls) isPlatformMessage()   {}
func (CopyPlatform) isPlatformMessage()       {}
func (RestorePlatform) isPlatformMessage()    {}
func (CancelPlatformCall) isPlatformMessage() {}
func (PlatformTick) isPlatformMessage()       {}

// AnswerPlatformCall is the effect of PlatformController: it answers a call after
// a delay.
type AnswerPlatformCall struct {
	Call   runner.Call
	Delay  time.Duration
	Answer PlatformAnswer
	// Era is the era in which the call was executed.
	Era uint64 `json:",omitempty"`
}

// PlatformAnswer is the content of an answer.
type PlatformAnswer interface{ isPlatformAnswer() }

// PlatformObject is a version of an object.
type PlatformObject struct {
	ID      storer.ID
	Version uint64
	Value   []byte
}

// ObjectFound answers a read or a watch.
type ObjectFound struct{ Object PlatformObject }

// ObjectsFound answers a listing.
type ObjectsFound struct{ Objects []PlatformObject }

// InstancesFound answers a watch of the instance list.
type InstancesFound struct{ List tracker.InstanceList }

// ObjectWritten answers a write that took effect.
type ObjectWritten struct{ Version uint64 }

// CallDone answers a call that returns nothing.
type CallDone struct{}

// WeightsTransferred answers a transfer when it is complete.
type WeightsTransferred struct{}

// ObjectMissing reports that the object does not exist.
type ObjectMissing struct{}

// ObjectConflict reports that the object has another version, 0 if it does not
// exist.
type ObjectConflict struct{ Version uint64 }

// ObjectTooLarge reports that the value exceeds storer.MaxValueBytes.
type ObjectTooLarge struct{}

// ObjectUnchanged answers a watch whose wait ended without a change.
type ObjectUnchanged struct{}

// CallThrottled reports that the call exceeds the rate and had no effect.
type CallThrottled struct{}

// CallUnavailable reports that the platform is unavailable and that the call had
// no effect.
type CallUnavailable struct{}

// ReplyLost closes the call's connection without an answer. The call may have
// taken effect.
type ReplyLost struct{}

// FaultsInForce answers GetPlatformFaults.
type FaultsInForce struct{ Faults PlatformFaults }

// CallsCounted answers GetPlatformCalls.
type CallsCounted struct{ Calls PlatformCalls }

func (ObjectFound) isPlatformAnswer()        {}
func (ObjectsFound) isPlatformAnswer()       {}
func (InstancesFound) isPlatformAnswer()     {}
func (ObjectWritten) isPlatformAnswer()      {}
func (CallDone) isPlatformAnswer()           {}
func (WeightsTransferred) isPlatformAnswer() {}
func (ObjectMissing) isPlatformAnswer()      {}
func (ObjectConflict) isPlatformAnswer()     {}
func (ObjectTooLarge) isPlatformAnswer()     {}
func (ObjectUnchanged) isPlatformAnswer()    {}
func (CallThrottled) isPlatformAnswer()      {}
func (CallUnavailable) isPlatformAnswer()    {}
func (ReplyLost) isPlatformAnswer()          {}
func (FaultsInForce) isPlatformAnswer()      {}
func (CallsCounted) isPlatformAnswer()       {}
