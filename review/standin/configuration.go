package main

// Names of the services and routes of the cases.
const (
	engineService = "wiatr-llm"
	plainService  = "wiatr-app"
	// briefPath is a route like spot-brief, whose streams may be resumed. rescuePath is one
	// like rescue-brief.
	briefPath  = "/spot-brief/"
	rescuePath = "/rescue-brief/"
	// digestPath is one like season-digest.
	digestPath = "/season-digest/"
	plainPath  = "/slot-booking/"
	lookupPath = "/forecast-read/"
)

// engineMemoryMB is the memory of a replica for weights, as on the sheet.
const engineMemoryMB = 200000

// modelSizesMB holds the weights of the models, as on the sheet.
var modelSizesMB = map[string]float64{
	"m0": 42700, "m1": 72700, "m2": 72700, "m3": 42700, "m4": 72700, "m5": 42700, "m6": 42700, "m9": 72700,
}

// configuration is a desired state.
type configuration struct {
	Version int
	Models  []string
}

// spec returns the desired state as the operator writes it.
func (c configuration) spec() map[string]any {
	models := []map[string]any{}
	for _, name := range c.Models {
		models = append(models, map[string]any{
			"name": name, "weights-mb": modelSizesMB[name], "load-s": 6.0, "warm-s": 0.63, "disk-load-s": 0.84, "adapters": 0, "adapter-size-mb": 66.0,
		})
	}
	route := func(name, path, kind, service string, timeoutMS, objectiveMS, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path-prefix": path, "route-kind": kind, "service": service, "timeout-ms": timeoutMS,
			"target-latency-ms": objectiveMS, "target-gap-ms": 600, "priority": 0, "max-attempts": attempts, "public": false,
			"sticky": kind == "streaming", "resumable": resumable,
		}
	}
	return map[string]any{
		"version": c.Version,
		"routes": []any{
			route("r-brief", briefPath, "streaming", engineService, 6000, 500, 2, true),
			route("r-rescue", rescuePath, "streaming", engineService, 17000, 2500, 1, false),
			route("r-digest", digestPath, "streaming", engineService, 5000, 2500, 2, true),
			route("r-lookup", lookupPath, "idempotent", plainService, 800, 300, 2, false),
			route("r-booking", plainPath, "non_idempotent", plainService, 800, 300, 1, false),
		},
		"services": []any{
			map[string]any{
				"name": engineService, "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv-capacity": 254704, "kv-token-bytes": 163840, "link-mbps": 1100000.0, "moves": true, "backups": true,
					"stride": 5, "max-count": 12, "host-mb": 130000.0, "disk-mb": 1200000.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0,
					"models": models, "weights-mb": engineMemoryMB, "adapter-slots": 8, "loads-per-s": 3.3,
				},
			},
			map[string]any{"name": plainService, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api-keys": []string{apiKey}, "priority": 1, "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 57337, "burst": 68874}},
	}
}
