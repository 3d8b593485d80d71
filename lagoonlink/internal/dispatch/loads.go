package dispatch

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
)

// Reports about requests that leave the availability zone.
const (
	// zoneReportInterval is the interval at which the requests that left are counted.
	zoneReportInterval = time.Second
	// zoneLogInterval is the minimum time between two log lines of a service while requests
	// leave.
	zoneLogInterval = 10 * time.Second
	// returnedAfter is the time without a request that left after which all count as
	// returned. It exceeds the time between requests of a VM that gets few.
	returnedAfter = 30 * time.Second
	// maxLabelledServices limits the values of the label service; further services are
	// labelled otherServices.
	maxLabelledServices = 64
	otherServices       = "other"
)

// serverLoadMessage carries the load that a server stated in a response.
type serverLoadMessage struct {
	server rollout.ServerName
	load   rollout.ServerLoad
}

// ObserveLoad implements rollout.ServerLoadReceiver. It drops the figures if the message
// channel is full; the server's next response carries newer ones.
func (d *Dispatcher) ObserveLoad(s rollout.ServerName, l rollout.ServerLoad) {
	select {
	case d.messages <- serverLoadMessage{server: s, load: l}:
	default:
	}
}

// departures is what is logged about the requests of a target that left the zone.
type departures struct {
	// leaving reports whether requests leave, lastLeft is when the last one was counted.
	leaving            bool
	lastLeft, loggedAt time.Time
	// sent, left and unserved count the requests since the last log line.
	sent, left, unserved int
	// distrusted are the servers named in the last log line about wrong figures.
	distrusted   []rollout.ServerName
	distrustedAt time.Time
	scope        tally.Scope
}

// reportZones counts and logs the requests that left the zone since the last report.
func (d *Dispatcher) reportZones(now time.Time) {
	if now.Sub(d.zonesReportedAt) < zoneReportInterval {
		return
	}
	d.zonesReportedAt = now
	for _, ts := range d.targets {
		if r := ts.pool.TakeSpillReport(); r.Sent > 0 || ts.departures.leaving {
			d.reportDepartures(now, ts, r)
			d.reportDistrusted(now, ts)
		}
	}
}

func (d *Dispatcher) reportDepartures(now time.Time, ts *targetState, r placement.SpillReport) {
	o := &ts.departures
	if o.scope == nil {
		o.scope = d.config.Metrics.Tagged(map[string]string{"service": d.serviceLabel(ts.target)})
	}
	o.scope.Counter("requests_placed_by_load").Inc(int64(r.Sent))
	o.scope.Counter("requests_left_zone").Inc(int64(r.Left))
	o.scope.Gauge("leaving_share").Update(r.Decision.Share)
	o.sent, o.left, o.unserved = o.sent+r.Sent, o.left+r.Left, o.unserved+r.Unserved
	if r.Left > 0 {
		o.lastLeft = now
	}
	switch {
	case !o.leaving && r.Left > 0:
		o.leaving = true
		d.logDepartures(now, ts, event.ZoneLeft, r)
	case o.leaving && now.Sub(o.lastLeft) >= returnedAfter:
		o.leaving = false
		d.logDepartures(now, ts, event.ZoneReturned, r)
	case o.leaving && o.left > 0 && now.Sub(o.loggedAt) >= zoneLogInterval:
		d.logDepartures(now, ts, event.ZoneShare, r)
	case !o.leaving:
		o.sent, o.left, o.unserved = 0, 0, 0
	}
}

func (d *Dispatcher) logDepartures(now time.Time, ts *targetState, e event.Event, r placement.SpillReport) {
	o := &ts.departures
	home, other := r.Decision.Home, r.Decision.Other
	d.config.Logger.Write(e, event.Fields{
		"Service": ts.target.Service, "Sent": o.sent, "Left": o.left, "Unserved": o.unserved, "Share": r.Decision.Share, "To": r.Decision.To,
		"HomeSeconds": home.Seconds, "HomeLoss": home.Loss,
		"Other": other.Name, "OtherSeconds": other.Seconds, "OtherLoss": other.Loss, "RoundTrip": other.RoundTrip, "Price": other.Price, "Spare": other.Spare,
		"Demand": r.Decision.Demand, "DecisionAge": now.Sub(r.DecidedAt).Seconds(), "FiguresAge": now.Sub(r.StatedAt).Seconds(),
	})
	o.loggedAt, o.sent, o.left, o.unserved = now, 0, 0, 0
}

// reportDistrusted logs a change of the servers whose figures are not believed.
func (d *Dispatcher) reportDistrusted(now time.Time, ts *targetState) {
	o := &ts.departures
	servers := ts.pool.Distrusted(now)
	if slices.Equal(servers, o.distrusted) || now.Sub(o.distrustedAt) < zoneLogInterval {
		return
	}
	o.distrusted, o.distrustedAt = servers, now
	d.config.Logger.Write(event.LoadDistrusted, event.Fields{"Service": ts.target.Service, "Servers": servers})
}

// serviceLabel returns the value of the label service for a target.
func (d *Dispatcher) serviceLabel(t Target) string {
	if d.labelledServices++; d.labelledServices > maxLabelledServices {
		return otherServices
	}
	return string(t.Service)
}
