package assembler

import "toucanhitch.example/toucanhitch/platform"

// fullLinkMbps is the bandwidth at and above which the link does not limit a
// node's capacity.
const fullLinkMbps = 100 // Mbit/s

// capacity returns the relative capacity of a node: its cores, reduced in
// proportion if its link is slower than fullLinkMbps.
func capacity(settings platform.Settings) float64 {
	cores := settings.Cores
	if settings.LinkMbps > 0 && settings.LinkMbps < fullLinkMbps {
		cores *= settings.LinkMbps / fullLinkMbps
	}
	return cores
}

// bufferBytes returns how many bytes of bodies all requests together may hold, and how many
// of responses: an eighth of the process's memory. Connections, the view of the fleet and
// what is not collected yet need the rest.
func bufferBytes(memoryMB float64) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryMB * (1 << 20) / 8)
}

// defaultMemoryMB is the memory of a process whose settings do not state it.
const defaultMemoryMB = 256
