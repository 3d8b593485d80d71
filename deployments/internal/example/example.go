// Package example is the common main function of the example deployments. It prints a
// deployment for its declared network or for a demonstration on one machine.
package example

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"

	"lagoonlink.org/declare"
)

// Main prints a deployment. With the flag --loopback, it prints the deployment with
// the addresses and tokens of a demonstration on one machine.
func Main(d declare.Deployment) {
	loopback := flag.Bool("loopback", false, "print the configuration for a demonstration on one machine")
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
