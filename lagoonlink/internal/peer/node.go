// Package peer joins this entry VM to the others: probes as sealed datagrams,
// requests and answers as frames on WebSockets. It uses no library's clustering.
//
// Three duties share nothing but rings: one reads datagrams, one owns the view
// of the members, one serves connections. The roster that other packages see is
// an immutable copy.
package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
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
	Keys    [][]byte
	Ring    int
	Logger  *event.Logger
	// Rumors returns the suspicions to send; Heard takes those that came.
	Rumors func() []request.Rumor
	Heard  func([]request.Rumor)
	// Facts takes what a peer said of itself.
	Facts func(from membership.Member, f membership.Facts)
	// Handle answers a peer's request.
	Handle func(ctx context.Context, b wire.Body) wire.Body
}

type datagram struct {
	from  string
	probe wire.Probe
}

// Traffic counts bytes and messages on the peer port.
type Traffic struct {
	SentBytes, ReceivedBytes, SentMessages, ReceivedMessages atomic.Uint64
}

// Node is this VM among the others.
type Node struct {
	config  Config
	socket  *net.UDPConn
	ring    chan datagram
	seeds   chan []string
	facts   atomic.Pointer[membership.Facts]
	roster  atomic.Pointer[membership.Roster]
	members atomic.Pointer[[]membership.Member]
	leave   chan chan struct{}
	hurry   chan struct{}
	links   *links
	Traffic Traffic
}

// Listen opens the sockets of a node.
func Listen(c Config) (*Node, error) {
	at, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, rollout.Tried(err, "listen for peers")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, rollout.Tried(err, "listen for probes on %s", c.Address)
	}
	n := &Node{
		config: c,
		socket: socket,
		ring:   make(chan datagram, c.Ring),
		seeds:  make(chan []string, 1),
		leave:  make(chan chan struct{}),
		hurry:  make(chan struct{}, 1),
	}
	n.links = newLinks(n)
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

// SetFacts sets what this VM tells its peers about itself.
func (n *Node) SetFacts(f membership.Facts) { n.facts.Store(&f) }

// Seed adds addresses that may belong to entry VMs.
func (n *Node) Seed(addresses []string) {
	select {
	case n.seeds <- addresses:
	default:
	}
}

// Announce makes some VMs hear at once what this VM tells. It never blocks.
func (n *Node) Announce() {
	select {
	case n.hurry <- struct{}{}:
	default:
	}
}

// Roster returns the living VMs.
func (n *Node) Roster() membership.Roster { return *n.roster.Load() }

// Members returns every VM that is remembered.
func (n *Node) Members() []membership.Member { return *n.members.Load() }

// ReadDatagrams is the duty that reads probes.
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
		d := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()}
		if err := n.open(buffer[:size], &d.probe); err != nil {
			n.config.Logger.Write(event.ProbeRejected, event.Fields{"From": d.from, "Error": err})
			continue
		}
		select {
		case n.ring <- d:
		default:
			n.config.Logger.Write(event.RingFull, event.Fields{"Duty": "membership"})
		}
	}
}

func (n *Node) open(data []byte, into *wire.Probe) error {
	plain, err := wire.Unseal(n.config.Keys, data)
	if err != nil {
		return err
	}
	return wire.Decode(plain, wire.MaxDatagramBytes, into)
}

// tickEvery is how often the view lets time pass.
const tickEvery = 50 * time.Millisecond

// KeepMembership is the duty that owns the view of the members.
func (n *Node) KeepMembership(ctx context.Context) error {
	v := membership.New(n.viewConfig(uint64(time.Now().UnixMilli())))
	v.Seed(n.config.Seeds)
	n.publish(v)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			n.act(v, v.Tick(now))
		case d := <-n.ring:
			n.config.Heard(d.probe.Rumors)
			n.act(v, v.Received(time.Now(), d.from, d.probe.Message))
		case <-n.hurry:
			n.act(v, v.Announce(time.Now()))
		case a := <-n.seeds:
			v.Seed(a)
		case done := <-n.leave:
			n.act(v, v.Leave())
			n.publish(v)
			close(done)
		}
		if f := n.facts.Load(); f != nil {
			v.SetFacts(*f)
		}
	}
}

// Leave tells the peers that this VM stops.
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

func (n *Node) act(v *membership.View, actions []membership.Action) {
	changed := false
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			n.send(a)
		case membership.Changed:
			changed = true
			n.config.Logger.Write(event.VMChanged, event.Fields{"VM": a.Member.Name, "State": a.Member.State, "Zone": a.Member.Zone})
		case membership.Heard:
			n.config.Facts(a.From, a.Facts)
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
	data, err := wire.Encode(&wire.Probe{Message: s.Message, Rumors: n.config.Rumors()}, wire.MaxDatagramBytes)
	if err != nil {
		n.config.Logger.Write(event.ProbeRejected, event.Fields{"To": s.Address, "Error": err})
		return
	}
	sealed := wire.Seal(n.config.Keys[0], data)
	n.Traffic.SentBytes.Add(uint64(len(sealed)))
	n.Traffic.SentMessages.Add(1)
	// A probe that can't be sent is a probe that is not answered.
	_, _ = n.socket.WriteToUDPAddrPort(sealed, to)
}

// Ask sends a request to a peer and returns its answer.
func (n *Node) Ask(ctx context.Context, address string, b wire.Body) (wire.Body, error) {
	answer, err := n.links.ask(ctx, address, b)
	if err != nil {
		return wire.Body{}, rollout.Tried(err, "ask the peer at %s", address)
	}
	if answer.Failure != nil {
		return wire.Body{}, answer.Failure.Err()
	}
	return answer, nil
}

var errWrongAnswer = fmt.Errorf("the peer's answer is of another kind")

// WrongAnswer is the failure for an answer of an unexpected kind.
func WrongAnswer() error {
	return rollout.Fail(rollout.MayHaveRun, rollout.ReasonInternal, errWrongAnswer)
}
