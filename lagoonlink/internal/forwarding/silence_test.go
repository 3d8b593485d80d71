package forwarding_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"lagoonlink.org/lagoonlink/internal/forwarding"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/httpclient/standin"
)

// TestSilentConnectionsOfHopsAreReplaced guards against hops that use a connection to a VM again
// on which a request got no response.
func TestSilentConnectionsOfHopsAreReplaced(t *testing.T) {
	const kept = 4
	response := message(t, passedHead{Status: 200}, "body")
	server := httptest.NewServer(standin.Together(kept, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, response) })))
	t.Cleanup(server.Close)
	path := standin.NewSilencer(t, server.Listener.Addr().String())
	client := forwarding.NewClient(forwarding.ClientConfig{HTTP: httpclient.New(httpclient.Config{ConnectTimeout: time.Second, MaxIdlePerServer: kept})})
	send := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := client.Forward(ctx, rollout.PeerVM{Name: "b", Address: path.Address}, rollout.ForwardedRequest{ID: "1", Method: "POST", Target: "/x", Body: []byte("request")}, 1)
		return err
	}
	var first sync.WaitGroup
	for range kept {
		first.Go(func() { assert.NoError(t, "hop before the silence", send()) })
	}
	first.Wait()
	path.Silence()
	failed := 0
	for err := send(); err != nil && failed <= kept; err = send() {
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
		failed++
	}
	assert.AtMost(t, "hops that failed after the silence", failed, kept)
}
