package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"lagoonlink.org/rollout/assert"
)

// Silencer forwards connections to a server.
type Silencer struct {
	// Address is where it accepts connections.
	Address string
	target  string
	epoch   atomic.Int64
}

// NewSilencer starts a Silencer that forwards to an address until the end of the test.
func NewSilencer(t testing.TB, target string) *Silencer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	s := &Silencer{Address: l.Addr().String(), target: target}
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

// Silence makes the open connections deliver nothing any more. New ones work.
func (s *Silencer) Silence() { s.epoch.Add(1) }

func (s *Silencer) forward(client net.Conn) {
	epoch := s.epoch.Load()
	server, err := net.Dial("tcp", s.target)
	if err != nil {
		_ = client.Close()
		return
	}
	var directions sync.WaitGroup
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		directions.Go(func() {
			buffer := make([]byte, 4096)
			for {
				n, err := pair[0].Read(buffer)
				if err != nil {
					_ = pair[1].Close()
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

// Together returns a handler that holds the first n requests until all of them have arrived,
// each on a connection of its own.
func Together(n int64, next http.Handler) http.Handler {
	var arrived atomic.Int64
	all := make(chan struct{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == n {
			close(all)
		}
		<-all
		next.ServeHTTP(w, r)
	})
}
