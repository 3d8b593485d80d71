// Command lagoonctl is the command-line tool for operators. It checks, compares,
// publishes and shows configurations, and shows which version is in force on each
// entry VM.
package main

import (
	"os"

	"lagoonlink.org/lagoonctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
