package directory

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// Topic is the journal topic of announcements. Only one of its partitions is used.
const Topic = "vms"

// Form is the newest form of requests between VMs that this build understands. A build
// understands all older ones.
const Form = 1

// announcement is what a VM says of itself, newer announcements replacing older ones.
type announcement struct {
	VM   rollout.VMName
	Zone rollout.Zone
	// Address takes requests of other VMs.
	Address string
	// Form is the newest form of requests that the VM understands.
	Form int
	// Reaches reports whether the VM reaches backend servers.
	Reaches bool
	// At is when the VM announced itself, in Unix milliseconds by its own clock. Only a VM that
	// has just started uses it.
	At int64
	// Started is when the VM's process started, in Unix milliseconds by its own clock, and
	// Number counts its announcements from 1. Earlier builds state neither.
	Started int64  `cbor:",omitempty"`
	Number  uint64 `cbor:",omitempty"`
	// Leaving reports whether the VM is stopping and takes no further requests.
	Leaving bool `cbor:",omitempty"`
}

// decode ignores unknown fields, which newer builds may add.
func decode(data []byte) (announcement, error) {
	var a announcement
	if err := cbor.Unmarshal(data, &a); err != nil {
		return announcement{}, rollout.Wrapf(err, "decode an announcement")
	}
	return a, a.check()
}

// check returns an error for the first invalid field.
func (a announcement) check() error {
	if a.VM == "" {
		return fmt.Errorf("VM: got an empty name")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("Address: got %q, expected IP address and port", a.Address)
	}
	if a.Form < 1 {
		return fmt.Errorf("Form: got %d, expected at least 1", a.Form)
	}
	return nil
}

// precedes reports whether the announcement is older than another one of its VM, although it
// may have been appended later: an append without a response may be carried out late.
func (a announcement) precedes(b announcement) bool {
	if a.Number == 0 || b.Number == 0 {
		return false
	}
	return a.Started < b.Started || a.Started == b.Started && a.Number < b.Number
}
