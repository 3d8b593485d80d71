package membership

import (
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/life"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindPing Kind = iota + 1
	KindAck
	// KindPingRequest asks the receiver to ping Target and pass its ack on.
	KindPingRequest
)

// Update is news of one VM.
type Update struct {
	Name        rollout.VMName
	Zone        rollout.Zone
	Address     string
	Incarnation uint64
	State       life.State
}

// Facts is what travels on every message besides the news of VMs.
type Facts struct {
	// Version is of the configuration in force, Digest the begin of its digest.
	Version rollout.ConfigurationVersion
	Digest  string `cbor:",omitempty"`
}

// Message is what VMs send each other.
type Message struct {
	Kind     Kind
	Sequence uint64
	From     Update
	Target   string   `cbor:",omitempty"`
	Updates  []Update `cbor:",omitempty"`
	Facts    Facts
}

// Action is something that the owner of the view must do.
type Action interface{ action() }

// The actions of the view.
type (
	// Send sends a message to an address.
	Send struct {
		Address string
		Message Message
	}
	// Changed tells that a VM's state changed.
	Changed struct{ Member Member }
	// Heard tells a peer's facts.
	Heard struct {
		From  Member
		Facts Facts
	}
)

func (Send) action()    {}
func (Changed) action() {}
func (Heard) action()   {}
