package membership

import (
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/lifecycle"
)

// Kind is the type of a Message.
type Kind uint8

// The kinds of messages. The values are part of the wire format.
const (
	KindPing Kind = iota + 1
	KindAck
	// KindPingRequest asks the receiver to ping Target and to forward its
	// acknowledgment.
	KindPingRequest
)

// Update is the state of one VM as gossiped between VMs.
type Update struct {
	Name        rollout.VMName
	Zone        rollout.Zone
	Address     string
	Incarnation uint64
	State       lifecycle.State
}

// Facts is what the sender of a message states about itself besides its own
// Update.
type Facts struct {
	// Version is that of the configuration in force; Digest is the start of its
	// digest.
	Version rollout.ConfigurationVersion
	Digest  string `cbor:",omitempty"`
}

// Message is a message of the gossip protocol between entry VMs.
type Message struct {
	Kind     Kind
	Sequence uint64
	From     Update
	Target   string   `cbor:",omitempty"`
	Updates  []Update `cbor:",omitempty"`
	Facts    Facts
}

// Action is something that the owner of a View must do.
type Action interface{ action() }

// The actions that a View returns.
type (
	// Send sends a message to an address.
	Send struct {
		Address string
		Message Message
	}
	// StateChanged reports that the state of a VM changed or that a VM was added.
	StateChanged struct{ Member Member }
	// FactsReceived reports the facts that a VM attached to a message.
	FactsReceived struct {
		From  Member
		Facts Facts
	}
)

func (Send) action()          {}
func (StateChanged) action()  {}
func (FactsReceived) action() {}
