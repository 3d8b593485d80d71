package rollout

// Problem is the body of a refusal, as application/problem+json. The standard's
// members keep the standard's names.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Verdict string
	Reason  Reason
}
