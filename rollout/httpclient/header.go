package httpclient

import (
	"net/http"
	"strings"

	"lagoonlink.org/rollout"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section
// 7.6.1) and those that the HTTP client sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// EndToEnd returns the header fields that are forwarded with a message: all but the
// hop-by-hop headers, those listed in Connection, and those with the given names.
// The names must be in canonical form.
func EndToEnd(h http.Header, except ...string) []rollout.HeaderField {
	skipped := map[string]bool{}
	for _, name := range append(except, hopByHop...) {
		skipped[name] = true
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			skipped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var fields []rollout.HeaderField
	for name, values := range h {
		if skipped[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, rollout.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}
