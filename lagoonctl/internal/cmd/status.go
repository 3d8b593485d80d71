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
	"lagoonlink.org/rollout/httpclient"
)

// vmStatus is the part of an entry VM's status page that is shown.
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

// maxStatusBytes is the largest status page that is read.
const maxStatusBytes = 16 << 20

// status shows the status of the given entry VMs. It fails if one of them does not
// answer or if they have different versions in force.
func (p *program) status(ctx context.Context, c *cli.Command) error {
	addresses := c.StringSlice("vm")
	if len(addresses) == 0 {
		return exitError{exitUsage, "--vm: expected the operations address of at least one entry VM"}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	client := httpclient.New(httpclient.Config{ConnectTimeout: 2 * time.Second, MaxIdlePerServer: 1})
	var all []vmStatus
	for _, a := range addresses {
		all = append(all, fetchStatus(ctx, client, a))
	}
	if c.Bool("json") {
		if err := p.printJSON(all); err != nil {
			return err
		}
	} else if err := p.printStatuses(all); err != nil {
		return err
	}
	for _, s := range all {
		if s.Error != "" || s.InForce.Version != all[0].InForce.Version {
			return exitError{exitFailed, "an entry VM did not answer, or the entry VMs have different versions in force"}
		}
	}
	return nil
}

func (p *program) printStatuses(all []vmStatus) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tVM\tZONE\tREADY\tVERSION\tIN FORCE SINCE\tLOG LAST READ\tERROR")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\t%s\t%s\n", s.Address, s.VM, s.Zone, s.Ready, s.InForce.Version,
			s.InForce.Since.Format(time.RFC3339), s.InForce.LogLastRead.Format(time.RFC3339), s.Error)
	}
	return w.Flush()
}

// fetchStatus returns the status of the entry VM at an address; a failure is in its
// Error field.
func fetchStatus(ctx context.Context, client *httpclient.Client, address string) vmStatus {
	s := vmStatus{Address: address}
	if err := getJSON(ctx, client, "http://"+address+"/status", &s); err != nil {
		s.Error = err.Error()
	}
	return s
}

func getJSON(ctx context.Context, client *httpclient.Client, url string, result any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := httpclient.ReadAll(response.Body, maxStatusBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}
