// Package rollout holds the domain types of lagoonlink, a rollout service for
// reinforcement learning, and every interface whose implementation varies.
//
// Entry VMs stand between callers and trainers on one side and backend servers
// (model engines and plain services) on the other. The packages below this one
// follow the data: configuration folds what operators publish, membership says
// which VMs live, placement and fair choose what runs where, request says what
// may be retried, sample says what a trainer still lacks, weights says which
// backend server swaps when. Those packages are pure: they take events and a
// time and return actions; they import no network, clock or goroutine. Packages
// wire, platform, engine and service move bytes.
//
// Three invariants hold everywhere. The zero Verdict is MayHaveRun, so that a
// forgotten verdict never claims that a request did not run. A Sample names its
// weight versions only from what its engine reported with the tokens. A VM
// applies configuration versions in increasing order only.
package rollout
