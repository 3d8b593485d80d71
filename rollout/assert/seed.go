package assert

import "flag"

// FixSeed makes the property tests of a package generate the same cases in every
// run, unless a seed is given on the command line. It must be called from an init
// function of a test package that imports the property-testing library, which
// registers the flags. Flags on the command line are parsed later and take
// precedence.
func FixSeed() {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) == nil {
			panic("assert: the test binary does not define the flag " + name)
		}
		// Set fails only if the value is malformed.
		_ = flag.Set(name, value)
	}
}
