package rollout

// Problem is the application/problem+json body of a failed request. The members
// defined by RFC 9457 have the names that it prescribes.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Verdict string
	Reason  Reason
}
