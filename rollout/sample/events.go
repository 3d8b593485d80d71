package sample

import "lagoonlink.org/rollout"

// Event is something that happened to a step.
type Event interface{ event() }

// The events of a step.
type (
	// Pulled is a trainer's pull.
	Pulled struct{ Pull rollout.Pull }
	// Started tells that an attempt was sent to a server.
	Started struct {
		Attempt AttemptID
		Server  rollout.ServerName
	}
	// Progressed is a piece of an attempt's answer.
	Progressed struct {
		Attempt AttemptID
		Piece   rollout.Piece
	}
	// Finished tells that an attempt's answer came whole.
	Finished struct{ Attempt AttemptID }
	// Failed tells that an attempt ended without a whole answer.
	Failed struct{ Attempt AttemptID }
	// Ticked lets time pass.
	Ticked struct{}
	// PolicyChanged gives a policy from a new configuration.
	PolicyChanged struct{ Policy Policy }
	// PullAbandoned tells that the trainer's connection went away.
	PullAbandoned struct{ Number uint64 }
)

func (Pulled) event()        {}
func (Started) event()       {}
func (Progressed) event()    {}
func (Finished) event()      {}
func (Failed) event()        {}
func (Ticked) event()        {}
func (PolicyChanged) event() {}
func (PullAbandoned) event() {}

// Action is something that the owner of a step must do.
type Action interface{ action() }

// The actions of a step.
type (
	// Submit asks for an attempt to be queued for an engine.
	Submit struct {
		Attempt AttemptID
		Index   int
		Group   int
		// Prior and PriorTokens are kept from an earlier attempt.
		Prior       string
		PriorTokens int
		// MaxTokens is what is left to generate.
		MaxTokens int
		// MinVersion is the oldest version that may still generate.
		MinVersion rollout.WeightVersion
		// Avoid is a server that another attempt of the sample uses or lost.
		Avoid rollout.ServerName
		// Urgent tells that the trainer waits for it.
		Urgent bool
	}
	// Cancel ends an attempt.
	Cancel struct{ Attempt AttemptID }
	// Answer answers the pending pull.
	Answer struct{ Answer rollout.PullAnswer }
	// Refuse refuses the pull with the given number.
	Refuse struct {
		Number  uint64
		Failure *rollout.Failure
	}
	// Discard reports tokens that were generated in vain.
	Discard struct {
		Index  int
		Tokens int
		Cause  DiscardCause
	}
)

func (Submit) action()  {}
func (Cancel) action()  {}
func (Answer) action()  {}
func (Refuse) action()  {}
func (Discard) action() {}

// DiscardCause says why generated tokens are not delivered.
type DiscardCause string

// The causes of a discard.
const (
	DiscardStale     DiscardCause = "Stale"
	DiscardUnlabeled DiscardCause = "Unlabeled"
	DiscardTwin      DiscardCause = "Twin"
	DiscardFailed    DiscardCause = "Failed"
)
