// Package memory accounts for the memory that callers can make an entry VM use: request
// bodies, headers, connections, and responses that wait for slow readers. It decides which
// request gets memory and which stalled one loses its own. The package is pure: it does no
// I/O and reads no clock.
package memory

// Costs and sizes in bytes.
const (
	// SmallRequestBytes is the largest size of a request that may use the share of small
	// requests.
	SmallRequestBytes = 64 << 10
	// MediumRequestBytes is the largest size of a request that may use the last part of the
	// common share. The submission of a job of 300 KB takes some 1.7 MB.
	MediumRequestBytes = 2 << 20
	// ConnectionBytes is charged for each connection: the stack of its goroutine, its
	// buffers and a header of ordinary size.
	ConnectionBytes = 16 << 10
	// baseBytes is the memory of the Go heap and runtime that callers do not cause, and the
	// garbage of response bodies that grow while they are read.
	baseBytes = 16 << 20
	// minTotalBytes is the smallest account, for VMs with hardly any memory.
	minTotalBytes = 4 << 20
)

// Shares of the VM's memory, of the account and of the descriptors.
const (
	// accountShare is the fraction of the VM's memory that the account may use in addition
	// to baseBytes. It is the soft memory limit of the Go runtime (0.6) without the responses
	// of backend servers that are being read (0.08). A VM with 136 MB thereby has room for a
	// chunked body of 32 MiB, whose buffers take 40 MiB while it grows.
	accountShare = 0.52
	// smallShare is the fraction of the account that only small requests may use.
	smallShare = 0.125
	// mediumShare is the fraction that requests over MediumRequestBytes may not use.
	mediumShare = 0.0625
	// connectionShare is the fraction of the account that bounds the connections.
	connectionShare = 0.2
	// descriptorShare is the fraction of the descriptors for sockets that callers'
	// connections may use. A caller's request needs a second one, to a backend server.
	descriptorShare = 0.5
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	minConnections  = 16
)

// Limits bounds an account. All sizes are in bytes.
type Limits struct {
	// Total is the size of the account, Small the part that only small requests may use, and
	// Medium the part of the rest that only requests up to MediumRequestBytes may use.
	Total, Small, Medium int64
	// Connections is the largest number of callers' connections.
	Connections int
}

// Derive returns the limits of a VM with the given memory in bytes and the given number of
// descriptors, or 0 descriptors if their number is unknown.
func Derive(memoryBytes int64, descriptors int) Limits {
	total := max(minTotalBytes, int64(accountShare*float64(memoryBytes))-baseBytes)
	l := Limits{Total: total, Small: int64(smallShare * float64(total)), Medium: int64(mediumShare * float64(total)), Connections: int(connectionShare * float64(total) / ConnectionBytes)}
	if descriptors > 0 {
		l.Connections = min(l.Connections, int(descriptorShare*float64(descriptors-fileDescriptors)))
	}
	l.Connections = max(minConnections, l.Connections)
	return l
}
