package httpclient_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/httpclient/standin"
)

// TestRetryAfterSilenceUsesANewConnection guards against retries that time out one after the
// other, each on another kept connection that has fallen silent.
func TestRetryAfterSilenceUsesANewConnection(t *testing.T) {
	const kept = 6
	server := httptest.NewServer(standin.Together(kept, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })))
	defer server.Close()
	proxy := standin.NewSilencer(t, server.Listener.Addr().String())
	client := httpclient.New(httpclient.Config{MaxIdlePerServer: kept, RenewAfterSilence: true})
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		r, err := httpclient.NewRequest(ctx, http.MethodPost, "http://"+proxy.Address+"/", []byte("x"))
		assert.NoError(t, "new request", err)
		_, _, err = client.DoAll(r, 100)
		return err
	}
	var calls sync.WaitGroup
	for range kept {
		calls.Go(func() { assert.NoError(t, "call", call()) })
	}
	calls.Wait()
	proxy.Silence()
	failed := 0
	for call() != nil {
		failed++
	}
	assert.AtMost(t, "calls that failed after the silence", failed, 1)
}
