package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
)

// vmStatus is what is shown of one entry VM.
type vmStatus struct {
	Address string
	VM      string
	Zone    string
	Ready   bool
	InForce struct {
		Version     rollout.ConfigurationVersion
		Since       time.Time
		LogLastRead time.Time
	}
	Error string `json:",omitempty"`
}

// maxStatusBytes bounds a status page.
const maxStatusBytes = 16 << 20

// status asks every named entry VM and fails when they differ or one is silent.
func (p *program) status(ctx context.Context, c *cli.Command) error {
	addresses := c.StringSlice("vm")
	if len(addresses) == 0 {
		return exitError{exitUsage, "--vm: expected the operations address of at least one entry VM"}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	client := exchange.New(exchange.Config{Connect: 2 * time.Second, IdlePerServer: 1})
	var all []vmStatus
	for _, a := range addresses {
		all = append(all, ask(ctx, client, a))
	}
	if c.Bool("json") {
		if err := p.json(all); err != nil {
			return err
		}
	} else if err := p.statusTable(all); err != nil {
		return err
	}
	for _, s := range all {
		if s.Error != "" || s.InForce.Version != all[0].InForce.Version {
			return exitError{exitFailed, "the entry VMs do not all have the same version in force"}
		}
	}
	return nil
}

func (p *program) statusTable(all []vmStatus) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tVM\tZONE\tREADY\tVERSION\tIN FORCE SINCE\tLOG LAST READ\tERROR")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\t%s\t%s\n", s.Address, s.VM, s.Zone, s.Ready, s.InForce.Version,
			s.InForce.Since.Format(time.RFC3339), s.InForce.LogLastRead.Format(time.RFC3339), s.Error)
	}
	return w.Flush()
}

func ask(ctx context.Context, client *exchange.Client, address string) vmStatus {
	s := vmStatus{Address: address}
	if err := get(ctx, client, "http://"+address+"/status", &s); err != nil {
		s.Error = err.Error()
	}
	return s
}

func get(ctx context.Context, client *exchange.Client, at string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	data, err := exchange.ReadAll(answer.Body, maxStatusBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}
