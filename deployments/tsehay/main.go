// Command tsehay prints the configuration of Tsehay Software PLC: three trainers
// that share one pool of assistant models, and a booking service whose calls must
// not be repeated, in the availability zones Bole, Kirkos and Yeka.
package main

import (
	"time"

	"lagoonlink.org/declare"
	"lagoonlink.org/deployments/internal/example"
	"lagoonlink.org/rollout"
)

// The availability zones.
const (
	bole   rollout.Zone = "Bole"
	kirkos rollout.Zone = "Kirkos"
	yeka   rollout.Zone = "Yeka"
)

// Ports of the backend servers.
const (
	samplerPort = 8000
	bookingPort = 8100
)

// SHA-256 hashes of the tokens of trainers and callers.
const (
	noticesHash   = "b672ced7ec918b9c29a2c27e50c9eb451b13fe7213263d1e53c967d48ee94c52"
	answersHash   = "4cfae1f4a4afc1a5219ed7cc461d5f14e446a2e2d72e2624fa7679b012308067"
	remindersHash = "1f1955cf02e587f2152cafb73bb4295c8a63e4c9c191154869fec1b519fae755"
	pagesHash     = "0350c23ecb2bce5f3cc69115f88b1291caca86ff95bdfd056e6f27abe10062ef"
)

func main() {
	example.Main(declare.NewDeployment("tsehay").
		WithZones(bole, kirkos, yeka).
		WithPools(assistantPool()).
		WithServices(bookingService()).
		WithTrainers(trainers()...).
		WithCallers(pagesCaller()))
}

func assistantPool() declare.Pool {
	return declare.NewPool("assistant").
		WithModels("notices", "answers", "reminders").
		WithConcurrency(32, 4).
		WithServers(declare.Fenced(declare.Servers("sampler", 1, 4, bole, "10.1.1", 11, samplerPort))...).
		WithServers(declare.Fenced(declare.Servers("sampler", 5, 4, kirkos, "10.1.2", 11, samplerPort))...).
		WithServers(declare.Fenced(declare.Servers("sampler", 9, 4, yeka, "10.1.3", 11, samplerPort))...)
}

func bookingService() declare.Service {
	return declare.NewService("booking").
		WithTimeout(5 * time.Second).
		WithServers(declare.Servers("booking", 1, 1, bole, "10.1.1", 51, bookingPort)...).
		WithServers(declare.Servers("booking", 2, 1, kirkos, "10.1.2", 51, bookingPort)...).
		WithServers(declare.Servers("booking", 3, 1, yeka, "10.1.3", 51, bookingPort)...)
}

// trainers returns trainers that minimize idle time first, because the three of them
// share few engines.
func trainers() []declare.Trainer {
	newTrainer := func(name string, zone rollout.Zone, hash string) declare.Trainer {
		return declare.NewTrainer(rollout.TrainerName(name), "assistant", rollout.ModelName(name)).
			WithZone(zone).
			WithMaxVersionsBehind(2).
			WithObjective(rollout.ObjectiveIdleTime).
			WithTokenHash(hash)
	}
	return []declare.Trainer{
		newTrainer("notices", bole, noticesHash).WithShare(2),
		newTrainer("answers", kirkos, answersHash),
		newTrainer("reminders", yeka, remindersHash),
	}
}

func pagesCaller() declare.Caller {
	return declare.NewCaller("pages").
		WithPools("assistant").
		WithServices("booking").
		WithTokenHash(pagesHash)
}
