package job

import "lagoonlink.org/rollout"

// Listed is one result as it is answered.
type Listed struct {
	Sample   string
	Outcome  Outcome
	Text     []byte
	Versions []rollout.WeightVersion
}

// Results is an answer to a read.
type Results struct {
	Total   int
	Next    int
	Results []Listed
}
