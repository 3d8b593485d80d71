// Package rollout defines the domain types of lagoonlink, a rollout service for
// reinforcement learning, and the interfaces that have several implementations.
//
// Entry VMs stand between callers and trainers on one side and backend servers
// (model engines and plain services) on the other. The subpackages divide the
// decisions by subject: configuration folds the publications of operators,
// membership tracks which VMs are alive, placement and fair choose which request
// runs next and on which server, request decides what may be retried, sample
// decides which samples of a step are still to be generated, and weights decides
// when each backend server loads new weights. These packages are pure: they take
// events and the current time and return actions, and use no network, clock or
// goroutine. Packages wire, platform, engine and service do the I/O.
//
// Three invariants hold throughout. The zero Verdict is MayHaveRun, so that an
// unset verdict never claims that a request did not run. The weight versions of
// a Sample come only from what its engine reported with the tokens. A VM applies
// configuration versions in increasing order only.
package rollout
