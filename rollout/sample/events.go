package sample

import "lagoonlink.org/rollout"

// Event is an input to [Step.Apply].
type Event interface{ event() }

// The events that a step handles.
type (
	// Pulled reports that the trainer sent a pull.
	Pulled struct{ Pull rollout.Pull }
	// Started reports that an attempt was sent to a backend server.
	Started struct {
		Attempt AttemptID
		Server  rollout.ServerName
	}
	// Progressed reports that a piece of an attempt's output arrived.
	Progressed struct {
		Attempt AttemptID
		Piece   rollout.Piece
	}
	// Finished reports that an attempt's output is complete.
	Finished struct{ Attempt AttemptID }
	// Failed reports that an attempt ended before its output was complete.
	Failed struct{ Attempt AttemptID }
	// Ticked reports only that time has passed.
	Ticked struct{}
	// PolicyChanged replaces the policy after a configuration change.
	PolicyChanged struct{ Policy Policy }
	// PullAbandoned reports that the trainer's connection was closed before the
	// pull with the given number was answered.
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

// Action is an output of [Step.Apply] that the caller must carry out.
type Action interface{ action() }

// The actions that a step requests.
type (
	// Submit queues an attempt for an engine.
	Submit struct {
		Attempt AttemptID
		Index   int
		Group   int
		// Prior is the text of an earlier attempt that this one continues;
		// PriorTokens is its length in tokens.
		Prior       string
		PriorTokens int
		// MaxTokens is how many tokens are left to generate.
		MaxTokens int
		// MinVersion is the oldest weight version that may generate the attempt.
		MinVersion rollout.WeightVersion
		// Avoid is the server of another attempt at the sample, which is running
		// or has failed; empty if there is none.
		Avoid rollout.ServerName
		// Urgent reports whether a pull of the trainer is pending.
		Urgent bool
	}
	// Cancel cancels an attempt.
	Cancel struct{ Attempt AttemptID }
	// Answer sends the response to the pending pull.
	Answer struct{ Response rollout.PullResponse }
	// Refuse refuses the pull with the given number.
	Refuse struct {
		Number  uint64
		Failure *rollout.Failure
	}
	// Discard records generated tokens that will not be delivered.
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

// DiscardCause is the reason why generated tokens are not delivered.
type DiscardCause string

// The causes of a discard.
const (
	// DiscardStale means that some of the tokens exceed the staleness bound.
	DiscardStale DiscardCause = "Stale"
	// DiscardUnlabeled means that the weight version of tokens is unknown.
	DiscardUnlabeled DiscardCause = "Unlabeled"
	// DiscardDuplicate means that the sample is already available from another
	// attempt or held by the trainer.
	DiscardDuplicate DiscardCause = "Twin"
	// DiscardFailed means that the attempt failed and is not continued.
	DiscardFailed DiscardCause = "Failed"
)
