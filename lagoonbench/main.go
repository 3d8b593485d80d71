// Command lagoonbench runs lagoonlink against stand-ins for the systems around it,
// injects faults, and reports broken promises and measurements.
package main

import (
	"os"

	"lagoonlink.org/lagoonbench/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
