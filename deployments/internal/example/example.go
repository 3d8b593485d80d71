// Package example holds what the example deployments share: printing for the
// declared network, or for a demonstration on one machine.
package example

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"

	"lagoonlink.org/declare"
)

// Main prints a deployment. With --loopback, addresses and tokens are those of
// a demonstration.
func Main(d declare.Deployment) {
	loopback := flag.Bool("loopback", false, "print for a demonstration on one machine")
	flag.Parse()
	if *loopback {
		d = d.OnLoopback(hash)
	}
	d.Main()
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
