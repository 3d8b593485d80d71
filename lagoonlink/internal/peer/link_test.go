package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/wire"
)

var key = bytes.Repeat([]byte{7}, 16)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	defer l.Close()
	return l.Addr().String()
}

func node(t *testing.T, name rollout.VMName, keys ...[]byte) *Node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := Listen(Config{
		VM: name, Zone: "Bole", Address: freeAddress(t), Keys: keys, Ring: 16, Logger: event.NewLogger(log),
		Rumors: func() []request.Rumor { return nil }, Heard: func([]request.Rumor) {},
		Facts:  func(membership.Member, membership.Facts) {},
		Handle: func(context.Context, wire.Body) wire.Body { return wire.Body{Closed: &wire.Closed{}} },
	})
	assert.NoError(t, "listen", err)
	t.Cleanup(func() { n.socket.Close() })
	return n
}

func serve(t *testing.T, n *Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, "serve", <-done)
	})
	for {
		conn, err := net.Dial("tcp", n.config.Address)
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
}

var question = wire.Body{FetchState: &wire.FetchState{}}

func TestAsk(t *testing.T) {
	other := bytes.Repeat([]byte{8}, 16)
	server := node(t, "server", key, other)
	serve(t, server)
	t.Run("answered", func(t *testing.T) {
		answer, err := node(t, "client", key).Ask(t.Context(), server.config.Address, question)
		assert.NoError(t, "ask", err)
		assert.True(t, "the answer", answer.Closed != nil)
	})
	t.Run("the second key is valid too", func(t *testing.T) {
		_, err := node(t, "client", other).Ask(t.Context(), server.config.Address, question)
		assert.NoError(t, "ask", err)
	})
	t.Run("an unknown key is refused as not run", func(t *testing.T) {
		_, err := node(t, "client", bytes.Repeat([]byte{9}, 16)).Ask(t.Context(), server.config.Address, question)
		assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonPeerUnreachable)
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	})
	t.Run("a dead peer is not run", func(t *testing.T) {
		_, err := node(t, "client", key).Ask(t.Context(), freeAddress(t), question)
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	})
}

// TestSilentPeerHoldsUpNobody asks a peer that takes connections and says
// nothing, and another one meanwhile.
func TestSilentPeerHoldsUpNobody(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	defer silent.Close()
	server, client := node(t, "server", key), node(t, "client", key)
	serve(t, server)
	// The silent peer is waited for until the test gives up on it.
	client.links.timeout = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	asked := make(chan error, 1)
	go func() {
		_, err := client.Ask(ctx, silent.Addr().String(), question)
		asked <- err
	}()
	conn, err := silent.Accept()
	assert.NoError(t, "accept", err)
	defer conn.Close()
	_, err = client.Ask(t.Context(), server.config.Address, question)
	assert.NoError(t, "ask another peer meanwhile", err)
	cancel()
	assert.Equal(t, "verdict on the silent one", rollout.VerdictOf(<-asked), rollout.NotRun)
}

func TestProof(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	good := proof(key, "10.0.0.1:1", now)
	assert.NoError(t, "a good proof", checkProof([][]byte{key}, "10.0.0.1:1", good, now))
	for _, c := range []struct {
		name, to, proof string
		at              time.Time
	}{
		{"for another VM", "10.0.0.2:1", good, now},
		{"out of date", "10.0.0.1:1", good, now.Add(time.Hour)},
		{"empty", "10.0.0.1:1", "", now},
		{"malformed", "10.0.0.1:1", "x.y", now},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.True(t, "there is an error", checkProof([][]byte{key}, c.to, c.proof, c.at) != nil)
		})
	}
}
