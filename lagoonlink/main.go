// Command lagoonlink is the daemon of an entry VM.
package main

import (
	"os"
	"runtime"

	"lagoonlink.org/lagoonlink/internal/cmd"
)

func main() {
	// The memory profile is never read, and its table alone takes 1.4 MB.
	runtime.MemProfileRate = 0
	os.Exit(cmd.Main(os.Args))
}
