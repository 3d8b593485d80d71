// Command review2 plays the cases of the second review against the programs of the deploy
// file. It runs from the repository's root.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// verdict is the result of a case: what broke the rule, or nothing.
type verdict struct{ broken []string }

func (v *verdict) add(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

var cases = map[string]func(r *record, trouble bool) (*verdict, error){
	"stamped": playStamped,
	"poison":  playPoison,
	"memory":  playMemory,
	"bodies":  playBodies,
	"release": playRelease,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "sampler" {
		if err := runSampler(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(r *record, trouble bool) (*verdict, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("trouble: %v", trouble)
	v, err := c(r, trouble)
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	for _, b := range v.broken {
		r.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(v.broken) > 0 {
		return exitBroken
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
