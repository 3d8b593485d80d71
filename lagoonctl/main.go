// Command lagoonctl is the operators' command: it checks, compares, publishes
// and shows configurations, and says what is in force on which entry VM.
package main

import (
	"os"

	"lagoonlink.org/lagoonctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
