// Command arjcb prints the configuration of the Agence Régionale de Jaugeage des
// Cuves de Bretagne: a pool that serves gauge-reading models, the trainers of these
// models, and a lookup service, in the availability zones Brest, Rennes and Lorient.
package main

import (
	"time"

	"lagoonlink.org/declare"
	"lagoonlink.org/deployments/internal/example"
	"lagoonlink.org/rollout"
)

// The availability zones.
const (
	brest   rollout.Zone = "Brest"
	rennes  rollout.Zone = "Rennes"
	lorient rollout.Zone = "Lorient"
)

// Ports of the backend servers.
const (
	samplerPort = 8000
	lookupPort  = 8100
)

// SHA-256 hashes of the tokens of trainers and callers.
const (
	floatsHash       = "38a9af03e6a0c8a630f1ab25df6c652069768bc0305aa73f2798e2da45147c30"
	glassesHash      = "150326ca76e772a2a08cbefbbf3ea263918035f815ef1ddf44db84a63435525a"
	inspectorsHash   = "497392c7c0284ee8b968caf6d46d7e36ffd84baf1c8f264b1325933b2d341102"
	distributorsHash = "6c8de7457703285c9331b117561fe94a0e632f816331281ccc1781e7b9768f97"
)

func main() {
	example.Main(declare.NewDeployment("arjcb").
		WithZones(brest, rennes, lorient).
		WithPools(readingsPool()).
		WithServices(lookupService()).
		WithTrainers(trainers()...).
		WithCallers(
			newCaller("inspectors", 2, inspectorsHash),
			newCaller("distributors", 1, distributorsHash),
		))
}

// readingsPool returns a pool whose engines do not check fencing tokens.
func readingsPool() declare.Pool {
	return declare.NewPool("readings").
		WithModels("floats", "glasses").
		WithConcurrency(32, 4).
		WithServers(declare.Servers("reader", 1, 4, brest, "10.2.1", 11, samplerPort)...).
		WithServers(declare.Servers("reader", 5, 4, rennes, "10.2.2", 11, samplerPort)...).
		WithServers(declare.Servers("reader", 9, 4, lorient, "10.2.3", 11, samplerPort)...)
}

func lookupService() declare.Service {
	return declare.NewService("lookup").
		WithIdempotentCalls().
		WithTimeout(3 * time.Second).
		WithServers(declare.Servers("lookup", 1, 1, brest, "10.2.1", 51, lookupPort)...).
		WithServers(declare.Servers("lookup", 2, 1, rennes, "10.2.2", 51, lookupPort)...).
		WithServers(declare.Servers("lookup", 3, 1, lorient, "10.2.3", 51, lookupPort)...)
}

// trainers returns trainers that minimize staleness first, because a reading by an
// old model ends up in a bill.
func trainers() []declare.Trainer {
	newTrainer := func(name string, zone rollout.Zone, hash string) declare.Trainer {
		return declare.NewTrainer(rollout.TrainerName(name), "readings", rollout.ModelName(name)).
			WithZone(zone).
			WithMaxVersionsBehind(1).
			WithObjective(rollout.ObjectiveStaleness).
			WithTokenHash(hash)
	}
	return []declare.Trainer{
		newTrainer("floats", brest, floatsHash),
		newTrainer("glasses", lorient, glassesHash),
	}
}

func newCaller(name string, share int, hash string) declare.Caller {
	return declare.NewCaller(rollout.CallerName(name)).
		WithShare(share).
		WithPools("readings").
		WithServices("lookup").
		WithTokenHash(hash)
}
