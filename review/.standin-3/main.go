// Command standin3 plays the cases of the third review against the system's own programs.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world, trouble bool) (held bool, err error){
	"poison":   runPoison,
	"failing":  runFailing,
	"path":     runPath,
	"oldbeat":  runOldBeat,
	"stranded": runStranded,
	"newlines": runNewlines,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	held, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.close()
	switch {
	case err != nil:
		w.record.add("could-not-run", "error", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case !held:
		w.record.add("result", "rule", "broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	w.record.add("result", "rule", "held")
	fmt.Println("the rule held")
}
