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

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	defer l.Close()
	return l.Addr().String()
}

func newNode(t *testing.T, name rollout.VMName, keys ...[]byte) *Node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := Listen(Config{
		VM: name, Zone: "Bole", Address: freeAddress(t), Keys: keys, QueueSize: 16, Logger: event.NewLogger(log),
		Suspicions: func() []request.SharedSuspicion { return nil }, OnSuspicions: func([]request.SharedSuspicion) {},
		OnFacts:       func(membership.Member, membership.Facts) {},
		HandleRequest: func(context.Context, wire.Body) wire.Body { return wire.Body{Closed: &wire.Closed{}} },
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

var fetchState = wire.Body{FetchState: &wire.FetchState{}}

func TestCall(t *testing.T) {
	secondKey := bytes.Repeat([]byte{8}, 16)
	server := newNode(t, "server", key, secondKey)
	serve(t, server)
	t.Run("the peer responds", func(t *testing.T) {
		response, err := newNode(t, "client", key).Call(t.Context(), server.config.Address, fetchState)
		assert.NoError(t, "call", err)
		assert.True(t, "response type is Closed", response.Closed != nil)
	})
	t.Run("the second key is also accepted", func(t *testing.T) {
		_, err := newNode(t, "client", secondKey).Call(t.Context(), server.config.Address, fetchState)
		assert.NoError(t, "call", err)
	})
	t.Run("an unknown key is rejected with verdict NotRun", func(t *testing.T) {
		_, err := newNode(t, "client", bytes.Repeat([]byte{9}, 16)).Call(t.Context(), server.config.Address, fetchState)
		assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonPeerUnreachable)
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	})
	t.Run("an unreachable peer gives verdict NotRun", func(t *testing.T) {
		_, err := newNode(t, "client", key).Call(t.Context(), freeAddress(t), fetchState)
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
	})
}

// TestUnresponsivePeerBlocksNoOther guards against requests waiting for the dial
// of an unrelated peer: while one peer accepts the TCP connection but never
// completes the handshake, a request to another peer must succeed.
func TestUnresponsivePeerBlocksNoOther(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	defer unresponsive.Close()
	server, client := newNode(t, "server", key), newNode(t, "client", key)
	serve(t, server)
	// Keep the dial pending until the test cancels it.
	client.links.dialTimeout = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, unresponsive.Addr().String(), fetchState)
		result <- err
	}()
	conn, err := unresponsive.Accept()
	assert.NoError(t, "accept", err)
	defer conn.Close()
	_, err = client.Call(t.Context(), server.config.Address, fetchState)
	assert.NoError(t, "call another peer during the dial", err)
	cancel()
	assert.Equal(t, "verdict of the canceled request", rollout.VerdictOf(<-result), rollout.NotRun)
}

func TestProof(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	valid := newProof(key, "10.0.0.1:1", now)
	assert.NoError(t, "verify a valid proof", verifyProof([][]byte{key}, "10.0.0.1:1", valid, now))
	for _, c := range []struct {
		name, address, proof string
		now                  time.Time
	}{
		{"for another VM's address", "10.0.0.2:1", valid, now},
		{"expired", "10.0.0.1:1", valid, now.Add(time.Hour)},
		{"empty", "10.0.0.1:1", "", now},
		{"malformed", "10.0.0.1:1", "x.y", now},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.True(t, "an error is returned", verifyProof([][]byte{key}, c.address, c.proof, c.now) != nil)
		})
	}
}
