// Command lagoonbench runs lagoonlink against stand-ins of the systems that it
// serves, breaks things, and reports what was promised against what happened.
package main

import (
	"os"

	"lagoonlink.org/lagoonbench/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
