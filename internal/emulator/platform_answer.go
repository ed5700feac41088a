package emulator

import (
	"net/http"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// writePlatformAnswer writes an answer of the controller as an HTTP response.
func writePlatformAnswer(w http.ResponseWriter, answer PlatformAnswer) {
	switch answer := answer.(type) {
	case ObjectFound:
		writeJSON(w, http.StatusOK, objectToWire(answer.Object))
	case ObjectsFound:
		found := wireObjects{Objects: []wireObject{}}
		for _, object := range answer.Objects {
			found.Objects = append(found.Objects, objectToWire(object))
		}
		writeJSON(w, http.StatusOK, found)
	case InstancesFound:
		writeJSON(w, http.StatusOK, listToWire(answer.List))
	case ObjectWritten:
		writeJSON(w, http.StatusOK, wireVersion(answer))
	case CallDone:
		w.WriteHeader(http.StatusNoContent)
	case WeightsTransferred:
		w.WriteHeader(http.StatusOK)
	case ObjectMissing:
		http.Error(w, "object does not exist", http.StatusNotFound)
	case ObjectConflict:
		writeJSON(w, http.StatusConflict, wireVersion(answer))
	case ObjectTooLarge:
		http.Error(w, "value is above 1 MiB", http.StatusRequestEntityTooLarge)
	case ObjectUnchanged:
		w.WriteHeader(http.StatusNotModified)
	case CallThrottled:
		http.Error(w, "above the rate", http.StatusTooManyRequests)
	case CallUnavailable:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case ReplyLost:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case FaultsInForce:
		writeJSON(w, http.StatusOK, faultsToWire(answer.Faults))
	case CallsCounted:
		writeJSON(w, http.StatusOK, answer.Calls)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoder.Encode(value)) // an error means that the caller has disconnected
}

func objectToWire(object PlatformObject) wireObject {
	return wireObject{object.ID.Kind, object.ID.Name, object.Version, object.Value}
}

func listToWire(list tracker.InstanceList) wireInstances {
	wire := wireInstances{Version: list.Version, Instances: []wireInstance{}}
	for _, instance := range list.Instances {
		wire.Instances = append(wire.Instances, wireInstance(instance))
	}
	return wire
}

func faultsToWire(faults PlatformFaults) wirePlatformFaults {
	return wirePlatformFaults{
		Outage:        faults.Outage,
		Latency:       faults.Latency.String(),
		LoseReplies:   faults.LoseReplies,
		Silent:        faults.Silent,
		SilenceOpen:   faults.SilenceOpen,
		ListLag:       faults.ListLag.String(),
		StoreSlowdown: faults.StoreSlowdown,
	}
}
