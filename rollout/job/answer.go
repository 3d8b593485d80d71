package job

import "lagoonlink.org/rollout"

// ResultEntry is one sample's result in the answer to a read.
type ResultEntry struct {
	Sample   string
	Outcome  Outcome
	Text     []byte
	Versions []rollout.WeightVersion
	// Score is empty if the sample has no scorer.
	Score string
}

// Results is the answer to a read of a job's results.
type Results struct {
	// Total is the number of samples of the job.
	Total int
	// Next is the position from which the next read continues.
	Next    int
	Results []ResultEntry
}
