package httpclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient"
)

// silencer forwards connections to a server. After silence, the open ones deliver nothing
// any more and new ones work.
type silencer struct {
	net.Listener
	target string
	epoch  atomic.Int64
}

func newSilencer(t *testing.T, target string) *silencer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	s := &silencer{Listener: l, target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.forward(conn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *silencer) silence() { s.epoch.Add(1) }

func (s *silencer) forward(client net.Conn) {
	server, err := net.Dial("tcp", s.target)
	if err != nil {
		_ = client.Close()
		return
	}
	epoch := s.epoch.Load()
	var directions sync.WaitGroup
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		directions.Go(func() {
			buffer := make([]byte, 4096)
			for {
				n, err := pair[0].Read(buffer)
				if err != nil {
					return
				}
				if s.epoch.Load() == epoch {
					_, _ = pair[1].Write(buffer[:n])
				}
			}
		})
	}
	directions.Wait()
	_, _ = client.Close(), server.Close()
}

// TestRetryAfterSilenceUsesANewConnection guards against retries that time out one after the
// other, each on another kept connection that has fallen silent.
func TestRetryAfterSilenceUsesANewConnection(t *testing.T) {
	const kept = 6
	var arrived sync.WaitGroup
	arrived.Add(kept)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			arrived.Done()
			arrived.Wait()
		}
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	proxy := newSilencer(t, server.Listener.Addr().String())
	client := httpclient.New(httpclient.Config{MaxIdlePerServer: kept, RenewAfterSilence: true})
	call := func(path string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		r, err := httpclient.NewRequest(ctx, http.MethodPost, "http://"+proxy.Addr().String()+path, []byte("x"))
		assert.NoError(t, "new request", err)
		_, _, err = client.DoAll(r, 100)
		return err
	}
	var calls sync.WaitGroup
	for range kept {
		calls.Go(func() { assert.NoError(t, "call", call("/together")) })
	}
	calls.Wait()
	proxy.silence()
	failed := 0
	for call("/") != nil {
		failed++
	}
	assert.AtMost(t, "calls that failed after the silence", failed, 1)
}
