package duties

import (
	"context"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/duty"
)

const (
	// maxCallTime limits a call to the platform, which normally takes some milliseconds.
	maxCallTime = time.Second
	// rateShare is the share of the platform's rate of calls that this VM uses at most. It
	// is less than a half because a holder that was just replaced may have used the rest.
	rateShare = 0.4
	// minRate replaces lower rates, at which no report would be sent in time.
	minRate = 1
)

// callLimit returns the time limit of a call. A call is only started if it ends before the
// hold does.
func (h *Holder) callLimit() time.Duration { return min(maxCallTime, h.config.Lease/3) }

// reserveCall returns the token for a call that is started now, or false if this VM may
// not make a call now.
func (h *Holder) reserveCall() (rollout.DutyToken, bool) {
	candidate := h.config.IsCandidate()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Now()
	number, until, held := h.state.Held(now)
	end := now + h.callLimit()
	spacing := time.Duration(float64(time.Second) / (rateShare * h.config.Rate))
	if !held || !candidate || end > until || h.lastCall > 0 && now < h.lastCall+spacing {
		return rollout.DutyToken{}, false
	}
	h.lastCall = now
	return rollout.DutyToken{Holder: h.config.VM, Number: number, Valid: func() bool { return h.mayStillSend(number, end) }}, true
}

// mayStillSend reports whether a call with a token may be sent that must end at the given
// time. The clock also runs while the VM is suspended.
func (h *Holder) mayStillSend(number uint64, end time.Duration) bool {
	token, _, held := h.held()
	return held && token == number && h.config.Now() < end
}

// call makes a call of the given kind with the current token. It reports false if this VM
// may not make a call now.
func (h *Holder) call(ctx context.Context, kind string, send func(context.Context, rollout.DutyToken) (rollout.DutyOutcome, error)) (outcome rollout.DutyOutcome, sent bool) {
	token, may := h.reserveCall()
	if !may {
		return rollout.DutyNotSent, false
	}
	ctx, cancel := context.WithTimeout(ctx, h.callLimit())
	defer cancel()
	outcome, err := send(ctx, token)
	h.config.Metrics.Tagged(map[string]string{"call": kind, "outcome": outcome.String()}).Counter("duty_calls").Inc(1)
	switch outcome {
	case rollout.DutyFenced, rollout.DutyUnavailable:
		// The status of an order does not tell a missing server from an old token.
		if outcome == rollout.DutyFenced || h.config.ChecksFence {
			h.withState(func(s *duty.State) { s.Refused(token.Number) })
			h.config.Logger.Write(event.DutyRefused, event.Fields{"Call": kind, "Token": token.Number, "Outcome": outcome.String()})
		}
	case rollout.DutyUnknown, rollout.DutyNotSent, rollout.DutyRateLimited:
		h.config.Logger.Write(event.DutyCallFailed, event.Fields{"Call": kind, "Token": token.Number, "Outcome": outcome.String(), "Error": err})
	}
	return outcome, true
}

// OrderServers orders servers if this VM holds the right, and reports whether it made the
// call.
func (h *Holder) OrderServers(ctx context.Context, o rollout.ServerOrder) (outcome rollout.DutyOutcome, sent bool) {
	return h.call(ctx, "Servers", func(ctx context.Context, t rollout.DutyToken) (rollout.DutyOutcome, error) {
		return h.config.Cloud.OrderServers(ctx, o, t)
	})
}
