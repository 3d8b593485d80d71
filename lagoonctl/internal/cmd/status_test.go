package cmd

import (
	"testing"

	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/httpclient/standin"
)

func TestBrokenHeads(t *testing.T) {
	standin.CheckBrokenHeads(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", func(t *testing.T, address string) error {
		return getJSON(t.Context(), httpclient.New(httpclient.Config{}), "http://"+address+"/status", &vmStatus{})
	})
}
