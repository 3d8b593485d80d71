package attempt

import (
	"context"
	"fmt"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
)

// ControlConfig configures a Control.
type ControlConfig struct {
	Engine  rollout.Engine
	Reach   Reach
	Peers   *Client
	InForce *inforce.Holder
}

// Control gives orders to engines and reads their load, through another VM while this one
// reaches no server. An order keeps its fencing token and its deadline, which is the end of
// its claim's lease, so that the other VM needs no claim of its own.
type Control struct {
	rollout.Engine
	config ControlConfig
}

var _ rollout.Engine = (*Control)(nil)

// NewControl returns a Control.
func NewControl(c ControlConfig) *Control { return &Control{Engine: c.Engine, config: c} }

// Order implements rollout.Engine.
func (c *Control) Order(ctx context.Context, address string, o rollout.Order) error {
	_, err := c.run(ctx, control{Address: address, Order: &o})
	return err
}

// Load implements rollout.Engine.
func (c *Control) Load(ctx context.Context, address string) (rollout.LoadReport, error) {
	return c.run(ctx, control{Address: address})
}

func (c *Control) run(ctx context.Context, q control) (rollout.LoadReport, error) {
	pool, server, err := c.find(q.Address)
	if err != nil {
		return rollout.LoadReport{}, err
	}
	if c.config.Reach.Isolated(ctx) {
		return c.config.Peers.control(ctx, pool, q)
	}
	return c.runHere(ctx, server, q)
}

// runHere sends an order, or the request for a load report, from this VM.
func (c *Control) runHere(ctx context.Context, server rollout.Server, q control) (report rollout.LoadReport, err error) {
	if q.Order != nil {
		err = c.Engine.Order(ctx, server.Address, *q.Order)
	} else {
		report, err = c.Engine.Load(ctx, server.Address)
	}
	c.config.Reach.Observe(ctx, server, err)
	return report, err
}

// find returns the declared engine with an address.
func (c *Control) find(address string) (rollout.PoolName, rollout.Server, error) {
	v, err := c.config.InForce.Require()
	if err != nil {
		return "", rollout.Server{}, err
	}
	for _, p := range v.Configuration.Pools {
		for _, s := range p.Servers {
			if s.Address == address {
				return p.Name, s, nil
			}
		}
	}
	return "", rollout.Server{}, rollout.Refuse(rollout.ReasonUnknownTarget, "no engine with address %s is declared", address)
}

// control sends an order, or the request for a load report, through another VM.
func (c *Client) control(ctx context.Context, pool rollout.PoolName, q control) (rollout.LoadReport, error) {
	head := newRequestHead(dispatch.Request{Target: dispatch.Target{Pool: pool}})
	head.Control = &q
	response, answer, err := c.send(ctx, fmt.Sprint("control of ", q.Address), head, nil)
	if err != nil {
		return rollout.LoadReport{}, err
	}
	return answer.Load, response.Body.Close()
}
