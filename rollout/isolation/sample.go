package isolation

import "lagoonlink.org/rollout"

// Sample returns up to limit VMs which an isolated VM in a zone asks whether they reach
// servers: half of them of its zone, if there are as many. Consecutive turns go through all
// VMs. It answers a deployment of hundreds of VMs that are all cut off, where asking every
// VM would take the square of their number.
func Sample(vms []Peer, zone rollout.Zone, limit, turn int) []Peer {
	var near, far []Peer
	for _, p := range vms {
		if p.Zone == zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	fromNear := min(len(near), max(limit/2, limit-len(far)))
	fromFar := min(len(far), limit-fromNear)
	return append(rotate(near, fromNear, turn), rotate(far, fromFar, turn)...)
}

// rotate returns n of the VMs, other ones in each turn until all had theirs.
func rotate(vms []Peer, n, turn int) []Peer {
	out := make([]Peer, 0, n)
	for i := range n {
		out = append(out, vms[(turn*n+i)%len(vms)])
	}
	return out
}
