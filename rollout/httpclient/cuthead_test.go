package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
)

// TestHeadThatIsCutIsNoResponse guards against responses that look complete though the server
// closed the connection within their head. The cut is after each byte in turn.
func TestHeadThatIsCutIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nX-Stamp: 3e1b.07\r\nContent-Length: 12\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: 3e1b.07\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nX-Stamp: 3e1b.07\r\nConnection: close\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\nX-Stamp: 3e1b.07\nContent-Length: 12\n\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NoError(t, "listen", err)
				defer l.Close()
				go func() {
					for size := 0; ; size++ {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						_, _ = conn.Read(make([]byte, 4096))
						_, _ = io.WriteString(conn, head[:min(size, len(head)-1)])
						if reset {
							_ = resetOnClose(conn)
						}
						_ = conn.Close()
					}
				}()
				client := New(Config{})
				for size := range len(head) {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					r, err := NewRequest(ctx, http.MethodPost, "http://"+l.Addr().String()+"/", []byte("x"))
					assert.NoError(t, "new request", err)
					response, _, err := client.DoAll(r, 1<<10)
					cancel()
					if err == nil {
						t.Fatalf("head cut after %d bytes: got status %d, want an error", size, response.StatusCode)
					}
					assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
				}
			})
		}
	}
}
