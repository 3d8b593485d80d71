package assert

import "flag"

// FixSeed makes property tests draw the same histories in every run, unless a
// seed is given on the command line. It is called from an init function of a
// test package that imports the property-testing library.
func FixSeed() {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) == nil {
			panic("assert: the test package has no flag " + name)
		}
		// Set fails only for a malformed value.
		_ = flag.Set(name, value)
	}
}
