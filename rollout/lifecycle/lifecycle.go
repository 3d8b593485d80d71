// Package lifecycle defines the state machines of samples on the VM that
// generates them, of orders to engines, and of entry VMs as their peers see them.
// The pure packages fire the transitions. The diagrams in the documentation are
// generated from the same definitions.
//
// One machine serves all objects of its kind that have the same owner. The state is
// stored outside the machine, so that a step of 1,024 samples needs only one
// machine.
package lifecycle

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is a state of any machine in this package.
type State string

// Trigger is an event of any machine in this package.
type Trigger string

// States and triggers of a sample on the VM that generates it.
const (
	SampleMissing State = "Missing"
	SampleQueued  State = "Queued"
	SampleRunning State = "Running"
	SampleReady   State = "Ready"
	SampleHeld    State = "Held"

	SampleSubmit  Trigger = "Submit"
	SampleStart   Trigger = "Start"
	SampleFinish  Trigger = "Finish"
	SampleAbandon Trigger = "Abandon"
	SampleConfirm Trigger = "Confirm"
	SampleForget  Trigger = "Forget"
)

// States and triggers of an order to load weights.
const (
	OrderDue       State = "Due"
	OrderSent      State = "Sent"
	OrderConfirmed State = "Confirmed"
	OrderBackoff   State = "Backoff"

	OrderSend    Trigger = "Send"
	OrderSeen    Trigger = "Seen"
	OrderFail    Trigger = "Fail"
	OrderExpire  Trigger = "Expire"
	OrderReplace Trigger = "Replace"
)

// States and triggers of an entry VM as a peer sees it.
const (
	VMAlive   State = "Alive"
	VMSuspect State = "Suspect"
	VMDead    State = "Dead"
	VMLeft    State = "Left"

	VMRefute  Trigger = "Refute"
	VMMiss    Trigger = "Miss"
	VMConfirm Trigger = "Confirm"
	VMLeave   Trigger = "Leave"
	VMRejoin  Trigger = "Rejoin"
)

// Store reads and writes the state of the object to which a transition applies.
type Store struct {
	Get func() State
	Set func(State)
}

// Machine validates and performs transitions of objects whose state is in a Store.
type Machine struct {
	machine *stateless.StateMachine
}

// Fire performs the transition for a trigger. If the present state does not permit
// it, Fire returns an error that names the state and the trigger.
func (m *Machine) Fire(trigger Trigger) error {
	return m.machine.Fire(trigger)
}

// Graph returns the machine's diagram in the DOT language.
func (m *Machine) Graph() string { return m.machine.ToGraph() }

type transition struct {
	from    State
	trigger Trigger
	to      State
}

// newMachine returns a machine with the given transitions. A transition from a state
// to itself is permitted as a reentry.
func newMachine(s Store, transitions []transition) *Machine {
	get := func(context.Context) (stateless.State, error) { return s.Get(), nil }
	set := func(_ context.Context, to stateless.State) error {
		s.Set(to.(State))
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(get, set, stateless.FiringImmediate)
	for _, t := range transitions {
		if t.from == t.to {
			m.Configure(t.from).PermitReentry(t.trigger)
			continue
		}
		m.Configure(t.from).Permit(t.trigger, t.to)
	}
	return &Machine{machine: m}
}

// NewSample returns the state machine of samples.
func NewSample(s Store) *Machine {
	return newMachine(s, []transition{
		{SampleMissing, SampleSubmit, SampleQueued},
		{SampleMissing, SampleConfirm, SampleHeld},
		{SampleQueued, SampleStart, SampleRunning},
		{SampleQueued, SampleAbandon, SampleMissing},
		{SampleQueued, SampleConfirm, SampleHeld},
		{SampleRunning, SampleStart, SampleRunning},
		{SampleRunning, SampleFinish, SampleReady},
		{SampleRunning, SampleAbandon, SampleMissing},
		{SampleRunning, SampleConfirm, SampleHeld},
		{SampleReady, SampleConfirm, SampleHeld},
		{SampleReady, SampleAbandon, SampleMissing},
		{SampleHeld, SampleForget, SampleMissing},
	})
}

// NewOrder returns the state machine of orders.
func NewOrder(s Store) *Machine {
	return newMachine(s, []transition{
		{OrderDue, OrderSend, OrderSent},
		{OrderDue, OrderSeen, OrderConfirmed},
		{OrderDue, OrderReplace, OrderDue},
		{OrderSent, OrderSeen, OrderConfirmed},
		{OrderSent, OrderFail, OrderBackoff},
		{OrderSent, OrderExpire, OrderBackoff},
		{OrderSent, OrderReplace, OrderDue},
		{OrderBackoff, OrderExpire, OrderDue},
		{OrderBackoff, OrderSeen, OrderConfirmed},
		{OrderBackoff, OrderReplace, OrderDue},
		{OrderConfirmed, OrderReplace, OrderDue},
		{OrderConfirmed, OrderSeen, OrderConfirmed},
	})
}

// NewVM returns the state machine of entry VMs as a peer sees them.
func NewVM(s Store) *Machine {
	return newMachine(s, []transition{
		{VMAlive, VMMiss, VMSuspect},
		{VMAlive, VMRefute, VMAlive},
		{VMAlive, VMConfirm, VMDead},
		{VMAlive, VMLeave, VMLeft},
		{VMSuspect, VMRefute, VMAlive},
		{VMSuspect, VMMiss, VMSuspect},
		{VMSuspect, VMConfirm, VMDead},
		{VMSuspect, VMLeave, VMLeft},
		{VMDead, VMRejoin, VMAlive},
		{VMDead, VMLeave, VMLeft},
		{VMLeft, VMRejoin, VMAlive},
	})
}

// Markdown returns the documentation page with the diagrams of all state machines.
func Markdown() string {
	empty := Store{Get: func() State { return "" }, Set: func(State) {}}
	page := "# State machines\n\nGenerated from package lifecycle; `make docs` writes it again.\n"
	for _, m := range []struct {
		title   string
		machine *Machine
	}{
		{"A sample on the VM that makes it", NewSample(empty)},
		{"An order to load weights", NewOrder(empty)},
		{"An entry VM as a peer sees it", NewVM(empty)},
	} {
		page += "\n## " + m.title + "\n\n```dot\n" + m.machine.Graph() + "\n```\n"
	}
	return page
}
