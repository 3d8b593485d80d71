// Command lagoonlink is the daemon of an entry VM.
package main

import (
	"os"

	"lagoonlink.org/lagoonlink/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
