package placement_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/placement"
)

// TestServerThatRefusesIsNotFlooded plays many waiting samples in front of a server that
// refuses all of them for a time and then runs them.
func TestServerThatRefusesIsNotFlooded(t *testing.T) {
	const (
		roundTrip = 8 * time.Millisecond
		refusing  = 2 * time.Second
		step      = time.Millisecond
		// most allows ten refused requests a second from one VM.
		most = 20
	)
	p := newPool("a")
	r := placement.Requirements{Class: rollout.ClassRollout}
	var answers []time.Time
	refused, running := 0, 0
	for now := start; now.Before(start.Add(refusing)); now = now.Add(step) {
		for len(answers) > 0 && !answers[0].After(now) {
			answers = answers[1:]
			refused++
			p.Ended(now, "a", placement.Outcome{Refused: true})
		}
		for pick(p, now, r) == "a" {
			p.Sent(now, "a", r)
			answers = append(answers, now.Add(roundTrip))
		}
	}
	assert.AtMost(t, "refused requests", refused, most)
	accepting := start.Add(refusing)
	for now := accepting; now.Before(accepting.Add(time.Second)); now = now.Add(step) {
		for pick(p, now, r) == "a" {
			p.Sent(now, "a", r)
			running++
		}
	}
	assert.True(t, "the server is used again", running >= 4)
}

func TestOtherServersServeDuringPause(t *testing.T) {
	p := newPool("a", "b")
	p.Sent(start, "a", placement.Requirements{})
	p.Ended(start, "a", placement.Outcome{Refused: true})
	for range 8 {
		assert.Equal(t, "server", pick(p, start.Add(time.Millisecond), placement.Requirements{}), rollout.ServerName("b"))
	}
}
