// Package status serves an entry VM's operations port: health and readiness
// checks, metrics in the Prometheus format, profiles, the log level, and a status
// page with this VM's view of the deployment. It exposes no token, key or prompt.
package status

import (
	"context"
	"fmt"
	"net/http"
	"net/http/pprof"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/holder"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/peer"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/placement"
)

// Config configures a Server.
type Config struct {
	VM       rollout.VMName
	Zone     rollout.Zone
	Address  string
	InForce  *inforce.Holder
	Dispatch *dispatch.Dispatcher
	Holder   *holder.Holder
	Node     *peer.Node
	// LogLastRead returns when the platform's log was last read.
	LogLastRead func() time.Time
	// Active returns the number of requests in progress.
	Active func() int
	// ControlTraffic returns the bytes exchanged with the platform, and with engines
	// for load reports and orders.
	ControlTraffic func() (sent, received uint64)
	Metrics        http.Handler
	Logger         *event.Logger
}

// Server is the HTTP server of the operations port.
type Server struct {
	config Config
	server *server.Hertz
	ready  atomic.Bool
}

// New returns a Server; Run starts listening.
func New(c Config) *Server {
	s := &Server{config: c}
	h := server.New(
		server.WithHostPorts(c.Address),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	h.GET("/health", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "alive\n") })
	h.GET("/ready", s.handleReady)
	h.GET("/metrics", adaptor.HertzHandler(c.Metrics))
	h.GET("/status", s.handleStatus)
	h.GET("/debug/pprof/profile", adaptor.HertzHandler(http.HandlerFunc(pprof.Profile)))
	h.GET("/debug/pprof/:name", func(ctx context.Context, c *app.RequestContext) {
		adaptor.HertzHandler(pprof.Handler(c.Param("name")))(ctx, c)
	})
	h.PUT("/log-level", s.handleLogLevel)
	s.server = h
	return s
}

// Run serves requests until the context ends.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.server.Run() }()
	select {
	case err := <-failed:
		return rollout.Wrapf(err, "listen for operators on %s", s.config.Address)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	return s.server.Shutdown(shutdownCtx)
}

// SetReady sets whether the readiness check reports this VM as ready for requests
// from the load balancer.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

func (s *Server) handleReady(_ context.Context, c *app.RequestContext) {
	switch {
	case !s.ready.Load():
		c.String(http.StatusServiceUnavailable, "stopping\n")
	case s.config.InForce.Current() == nil:
		c.String(http.StatusServiceUnavailable, "no configuration\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

func (s *Server) handleLogLevel(_ context.Context, c *app.RequestContext) {
	if err := s.config.Logger.SetLevel(strings.TrimSpace(string(c.Request.Body()))); err != nil {
		c.String(http.StatusBadRequest, err.Error()+"\n")
		return
	}
	c.String(http.StatusOK, "changed\n")
}

// Page is the content of the status page.
type Page struct {
	VM      rollout.VMName
	Zone    rollout.Zone
	Ready   bool
	Active  int
	InForce InForce
	VMs     []membership.Member
	Targets []dispatch.TargetView
	Steps   []holder.StepView
	Traffic Traffic
	Process Process
}

// InForce identifies the configuration in force and when it came into force on
// this VM.
type InForce struct {
	Version     rollout.ConfigurationVersion
	Digest      string
	Since       time.Time
	LogLastRead time.Time
}

// Traffic counts the bytes and messages on the peer port since the start, and the
// control bytes: those exchanged with the platform, and with engines for load
// reports and orders.
type Traffic struct {
	SentBytes, ReceivedBytes, SentMessages, ReceivedMessages uint64
	ControlSentBytes, ControlReceivedBytes                   uint64
}

// Process is the resource usage of the process.
type Process struct {
	Goroutines  int
	HeapBytes   uint64
	SystemBytes uint64
}

// viewsTimeout bounds the wait for the views of the dispatcher and the holder.
const viewsTimeout = time.Second

func (s *Server) newPage(ctx context.Context) Page {
	ctx, cancel := context.WithTimeout(ctx, viewsTimeout)
	defer cancel()
	p := Page{
		VM:      s.config.VM,
		Zone:    s.config.Zone,
		Ready:   s.ready.Load(),
		Active:  s.config.Active(),
		VMs:     s.config.Node.Members(),
		Targets: s.config.Dispatch.Views(ctx),
		Steps:   s.config.Holder.Views(ctx),
		Process: processStats(),
	}
	if v := s.config.InForce.Current(); v != nil {
		p.InForce = InForce{Version: v.Version, Digest: v.Digest, Since: v.Since, LogLastRead: s.config.LogLastRead()}
	}
	t := &s.config.Node.Traffic
	p.Traffic = Traffic{
		SentBytes: t.SentBytes.Load(), ReceivedBytes: t.ReceivedBytes.Load(),
		SentMessages: t.SentMessages.Load(), ReceivedMessages: t.ReceivedMessages.Load(),
	}
	p.Traffic.ControlSentBytes, p.Traffic.ControlReceivedBytes = s.config.ControlTraffic()
	return p
}

func processStats() Process {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Process{Goroutines: runtime.NumGoroutine(), HeapBytes: m.HeapInuse, SystemBytes: m.Sys}
}

func (s *Server) handleStatus(ctx context.Context, c *app.RequestContext) {
	p := s.newPage(ctx)
	if c.Query("Format") == "Text" {
		c.String(http.StatusOK, p.text())
		return
	}
	c.JSON(http.StatusOK, p)
}

// text returns the page as plain text for operators.
func (p Page) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "VM %s in %s, ready: %t, requests in progress: %d\n", p.VM, p.Zone, p.Ready, p.Active)
	fmt.Fprintf(&b, "configuration in force: version %d since %s, log last read %s\n", p.InForce.Version, p.InForce.Since.Format(time.RFC3339), p.InForce.LogLastRead.Format(time.RFC3339))
	fmt.Fprintf(&b, "\nentry VMs\n")
	for _, m := range p.VMs {
		fmt.Fprintf(&b, "  %-20s %-10s %-22s %s since %s\n", m.Name, m.Zone, m.Address, m.State, m.Since.Format(time.RFC3339))
	}
	for _, t := range p.Targets {
		fmt.Fprintf(&b, "\npool or service %s%s, queued: %v\n", t.Target.Pool, t.Target.Service, t.Queued)
		for _, v := range t.Servers {
			fmt.Fprintf(&b, "  %-20s %-10s in flight %d of %.1f%s %v\n", v.Server, v.Zone, v.InFlight, v.Limit, serverFlags(v), v.Loaded)
		}
	}
	fmt.Fprintf(&b, "\nsteps held here\n")
	for _, v := range p.Steps {
		fmt.Fprintf(&b, "  %-30s %+v\n", v.Step, v.Counts)
	}
	return b.String()
}

func serverFlags(v placement.View) string {
	flags := ""
	if v.Ejected {
		flags += " ejected"
	}
	if v.Leaving {
		flags += " leaving"
	}
	return flags
}
