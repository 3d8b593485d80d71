// Package peer connects this entry VM to the other entry VMs. Membership probes
// are authenticated UDP datagrams; requests and responses are frames on
// WebSocket connections. No external clustering library is involved.
//
// Three background tasks communicate only through bounded channels: one reads
// datagrams, one owns the membership view, one serves connections. Other packages
// get immutable copies of the roster and the member list.
package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/wire"
)

// Config configures the node.
type Config struct {
	VM      rollout.VMName
	Zone    rollout.Zone
	Address string
	Seeds   []string
	// Keys authenticate probes and connections. The first one signs; all of them
	// are accepted, so that a key can be rotated.
	Keys [][]byte
	// QueueSize is the capacity of the channel of received probes.
	QueueSize int
	Logger    *event.Logger
	// Suspicions returns the suspicions to send with each probe, the most important ones
	// first; OnSuspicions receives those of peers.
	Suspicions   func() []request.SharedSuspicion
	OnSuspicions func([]request.SharedSuspicion)
	// OnFacts receives the facts that a peer reports about itself.
	OnFacts func(from membership.Member, f membership.Facts)
	// HandleRequest returns the response to a peer's request.
	HandleRequest func(ctx context.Context, b wire.Body) wire.Body
	// Handlers serve further paths of the peers' port, to callers that have proved that they
	// hold a key.
	Handlers map[string]http.Handler
}

type receivedProbe struct {
	from  string
	probe wire.Probe
}

// Traffic counts the bytes and messages sent and received on the peer port.
type Traffic struct {
	SentBytes, ReceivedBytes, SentMessages, ReceivedMessages atomic.Uint64
}

// Node is this entry VM's endpoint in the peer network.
type Node struct {
	config   Config
	socket   *net.UDPConn
	probes   chan receivedProbe
	seeds    chan []string
	facts    atomic.Pointer[membership.Facts]
	roster   atomic.Pointer[membership.Roster]
	members  atomic.Pointer[[]membership.Member]
	leave    chan chan struct{}
	announce chan struct{}
	links    *linkPool
	Traffic  Traffic
}

// Listen opens the UDP socket for probes and returns the node. The TCP listener
// is opened by Serve.
func Listen(c Config) (*Node, error) {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, rollout.Wrapf(err, "parse the peer address")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, rollout.Wrapf(err, "listen for probes on %s", c.Address)
	}
	n := &Node{
		config:   c,
		socket:   socket,
		probes:   make(chan receivedProbe, c.QueueSize),
		seeds:    make(chan []string, 1),
		leave:    make(chan chan struct{}),
		announce: make(chan struct{}, 1),
	}
	n.links = newLinkPool(n)
	n.publish(membership.New(n.viewConfig(0)))
	return n, nil
}

func (n *Node) viewConfig(incarnation uint64) membership.Config {
	return membership.Config{
		Self:        n.config.VM,
		Zone:        n.config.Zone,
		Address:     n.config.Address,
		Incarnation: incarnation,
		Seed:        rand.Uint64(),
		Timing:      membership.DefaultTiming(),
	}
}

// SetFacts sets the facts about this VM that are sent with every membership
// message.
func (n *Node) SetFacts(f membership.Facts) { n.facts.Store(&f) }

// Seed adds addresses that may belong to entry VMs. It never blocks: addresses
// are dropped while earlier ones wait to be processed.
func (n *Node) Seed(addresses []string) {
	select {
	case n.seeds <- addresses:
	default:
	}
}

// Announce requests that the current facts and suspicions be sent to some peers
// immediately instead of with the next probes. It never blocks.
func (n *Node) Announce() {
	select {
	case n.announce <- struct{}{}:
	default:
	}
}

// Roster returns the entry VMs that are alive or suspected, this one included
// unless it has left.
func (n *Node) Roster() membership.Roster { return *n.roster.Load() }

// Members returns the other known entry VMs in any state.
func (n *Node) Members() []membership.Member { return *n.members.Load() }

// ReadDatagrams reads and authenticates probes until the context ends, and queues
// them for RunMembership. Probes are dropped while the queue is full.
func (n *Node) ReadDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { n.socket.Close() })
	defer stop()
	buffer := make([]byte, wire.MaxDatagramBytes+1)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		n.Traffic.ReceivedBytes.Add(uint64(size))
		n.Traffic.ReceivedMessages.Add(1)
		r := receivedProbe{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()}
		if err := n.decodeProbe(buffer[:size], &r.probe); err != nil {
			n.config.Logger.Write(event.ProbeRejected, event.Fields{"From": r.from, "Error": err})
			continue
		}
		select {
		case n.probes <- r:
		default:
			n.config.Logger.Write(event.QueueFull, event.Fields{"Duty": "membership"})
		}
	}
}

func (n *Node) decodeProbe(data []byte, into *wire.Probe) error {
	plain, err := wire.VerifyMAC(n.config.Keys, data)
	if err != nil {
		return err
	}
	return wire.Decode(plain, wire.MaxDatagramBytes, into)
}

// maxRumors limits the suspicions in a probe, which shares its datagram with updates of the
// membership.
const maxRumors = 8

// tickInterval is the time between two ticks of the membership view.
const tickInterval = 50 * time.Millisecond

// RunMembership maintains the membership view until the context ends. Its
// goroutine is the only one that accesses the view.
func (n *Node) RunMembership(ctx context.Context) error {
	v := membership.New(n.viewConfig(uint64(time.Now().UnixMilli())))
	v.Seed(n.config.Seeds)
	n.publish(v)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.apply(v, v.Tick(now))
		case r := <-n.probes:
			n.config.OnSuspicions(r.probe.Rumors)
			n.apply(v, v.HandleMessage(time.Now(), r.from, r.probe.Message))
		case <-n.announce:
			n.apply(v, v.Announce(time.Now()))
		case a := <-n.seeds:
			v.Seed(a)
		case done := <-n.leave:
			n.apply(v, v.Leave())
			n.publish(v)
			close(done)
		}
		if f := n.facts.Load(); f != nil {
			v.SetFacts(*f)
		}
	}
}

// Leave announces to the peers that this VM is leaving. It returns when the
// messages are sent or the context ends.
func (n *Node) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case n.leave <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (n *Node) publish(v *membership.View) {
	r, m := v.Roster(), v.Members()
	n.roster.Store(&r)
	n.members.Store(&m)
}

func (n *Node) apply(v *membership.View, actions []membership.Action) {
	changed := false
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			n.send(a)
		case membership.StateChanged:
			changed = true
			n.config.Logger.Write(event.VMChanged, event.Fields{"VM": a.Member.Name, "State": a.Member.State, "Zone": a.Member.Zone})
		case membership.FactsReceived:
			n.config.OnFacts(a.From, a.Facts)
		}
	}
	if changed {
		n.publish(v)
	}
}

func (n *Node) send(s membership.Send) {
	to, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return
	}
	rumors := n.config.Suspicions()
	data, err := wire.Encode(&wire.Probe{Message: s.Message, Rumors: rumors[:min(maxRumors, len(rumors))]}, wire.MaxDatagramBytes)
	if err != nil {
		n.config.Logger.Write(event.ProbeRejected, event.Fields{"To": s.Address, "Error": err})
		return
	}
	datagram := wire.AppendMAC(n.config.Keys[0], data)
	n.Traffic.SentBytes.Add(uint64(len(datagram)))
	n.Traffic.SentMessages.Add(1)
	// A send error needs no handling: the probe goes unacknowledged, as if the
	// network had lost it.
	_, _ = n.socket.WriteToUDPAddrPort(datagram, to)
}

// Call sends a request to the peer at an address and returns its response. A
// failure reported by the peer is returned as the error.
func (n *Node) Call(ctx context.Context, address string, b wire.Body) (wire.Body, error) {
	response, err := n.links.request(ctx, address, b)
	if err != nil {
		return wire.Body{}, rollout.Wrapf(err, "send a request to the peer at %s", address)
	}
	if response.Failure != nil {
		return wire.Body{}, response.Failure.Err()
	}
	return response, nil
}

var errUnexpectedResponse = fmt.Errorf("unexpected type of response from the peer")

// UnexpectedResponse returns the failure for a peer's response whose type does
// not match the request.
func UnexpectedResponse() error {
	return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, errUnexpectedResponse)
}
