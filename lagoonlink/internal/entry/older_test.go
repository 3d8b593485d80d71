package entry

import (
	"context"
	"fmt"
	"testing"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/wire"
)

// olderPeer is a VM that passes any status of a service on.
type olderPeer struct {
	Peers
	status int
}

func (p olderPeer) Call(context.Context, string, wire.Body) (wire.Body, error) {
	return wire.Body{ServiceAnswer: &rollout.CallResponse{Status: p.status}}, nil
}

// TestInvalidStatusFromOlderBuilds guards against a status that this build rejects if it calls
// the service itself.
func TestInvalidStatusFromOlderBuilds(t *testing.T) {
	for status, valid := range map[int]bool{0: false, 101: false, 200: true, 500: true, 999: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			e := &Entry{config: Config{Peers: olderPeer{status: status}}}
			_, err := e.forwardToIssuer(t.Context(), "127.0.0.1:1", wire.RunIdentified{})
			assert.Equal(t, "accepted", err == nil, valid)
			if err != nil {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
			}
		})
	}
}
