package cmd

// #include <stdlib.h>
import "C" // links the program with the C library, as the platform requires

import (
	"context"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/admission"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/gateway"
	"lagoonlink.org/lagoonlink/internal/jobs"
	"lagoonlink.org/lagoonlink/internal/listener"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/platform/backend"
	"lagoonlink.org/platform/cloud"
	"lagoonlink.org/platform/front"
	"lagoonlink.org/platform/settings"
	"lagoonlink.org/platform/store"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/memory"
	"lagoonlink.org/rollout/tenancy"
)

// Timeouts and sizes of the process on the platform.
const (
	// connectTimeout limits the time to establish a connection; zones are 2 ms apart.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is below the 10 s for which backend servers keep idle connections.
	idleTimeout = 8 * time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before a
	// connection counts as broken.
	unackedTimeout = 1500 * time.Millisecond
	// serverBufferBytes is the size of the buffers of a connection to a backend
	// server; requests have 1 KB.
	serverBufferBytes = 2 << 10
	maxIdlePerServer  = 16
	// maxIdleToStore is the largest number of idle connections to the store: one for
	// each follower, and the concurrent reads of jobs' data.
	maxIdleToStore = 48
	// storeBufferBytes is the size of the buffers of a connection to the store; most
	// reads wait for records of 100 bytes each.
	storeBufferBytes = 4 << 10
	// gcPercent is the growth of the heap, in percent, that triggers a garbage
	// collection. An idle VM has 1 MB in use; collecting four times as often as by
	// default costs less than the memory that it saves.
	gcPercent = 25
	// bodyMemoryShare is the fraction of the VM's memory that response bodies of backend
	// servers may take while they are read. A body's buffer may grow to twice its size.
	bodyMemoryShare = 0.08
	// memoryLimitShare is the fraction of the VM's memory that is set as the soft
	// memory limit of the Go runtime; the rest is for stacks and the kernel's buffers.
	memoryLimitShare = 0.6
)

// serveOnPlatform runs an entry VM that keeps its state in the platform's store.
func serveOnPlatform(ctx context.Context, metricsPort int) error {
	terminate, hangup := notifySignals(syscall.SIGTERM, syscall.SIGINT), notifySignals(syscall.SIGHUP)
	s, err := settings.Load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
	sink := event.NewSink(os.Stdout)
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger := event.NewLogger(log)

	storeClient := httpclient.New(httpclient.Config{ConnectTimeout: connectTimeout, MaxIdlePerServer: maxIdleToStore, IdleTimeout: idleTimeout, UnacknowledgedTimeout: unackedTimeout, BufferSize: storeBufferBytes, RenewAfterSilence: true})
	serverClient := httpclient.New(httpclient.Config{
		ConnectTimeout: connectTimeout, MaxIdlePerServer: maxIdlePerServer, IdleTimeout: idleTimeout, UnacknowledgedTimeout: unackedTimeout, BufferSize: serverBufferBytes,
		MaxBufferedBytes: int64(bodyMemoryShare * float64(s.MemoryMB) * (1 << 20)),
	})
	scope, handler, closer := metrics.New(map[string]string{"vm": s.VM, "zone": s.Zone})
	// An error doesn't matter: the metrics are lost when the process exits.
	defer func() { _ = closer.Close() }()
	metricsAddress := ""
	if metricsPort > 0 {
		metricsAddress = net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
	}
	platformStore := store.New(storeClient, s.Store)
	backendClient := backend.New(serverClient)
	// Limits of callers' bodies and connections come from the relay, which needs the VM first.
	var requests *relay.Relay
	admit := admission.New(admission.Config{
		Limits: memory.Derive(int64(s.MemoryMB)<<20, s.MaxFDs), IdleTimeout: func() time.Duration { return requests.Limits().IdleTimeout }, Logger: logger, Metrics: scope,
	})
	return gateway.New(gateway.Config{
		VM: rollout.VMName(s.VM), Address: s.IP, Zone: rollout.Zone(s.Zone), Capacity: s.Capacity, Partitions: s.Partitions, RecordBytes: s.RecordBytes, CallBytes: s.CallBytes, MemoryMB: s.MemoryMB,
		Grace: s.Grace, OrderLease: s.OrderLease, MinMembershipLease: s.MinMembership, ChecksFence: s.FencingRequired,
		Revocation: tenancy.Policy{StrictRevoke: s.StrictRevoke, RevokeAfter: s.RevokeAfter}, Duties: newDuties(s, serverClient),
		Journal: platformStore, Groups: platformStore, Operator: store.OperatorFeed(platformStore), Servers: store.ServerFeed(platformStore),
		Forwarder: backendClient, Engine: backendClient, Scorer: backendClient, Control: backendClient, Limits: backendClient, Departures: backendClient, Loads: backendClient, BytePrice: s.BytePrice,
		InternalAddress: s.Internal, ServerClient: serverClient, Admission: admit,
		NewListener: func(r *relay.Relay, manager *jobs.Manager, ready func() bool) gateway.Listener {
			requests = r
			return listener.New(listener.Config{
				Address: s.Front, Callers: front.New(requests, manager, admit), ReadyAddress: s.Ready, Ready: front.Readiness(ready), Admission: admit,
			})
		},
		Terminate: terminate, Hangup: hangup, Reload: reloader(s, platformStore),
		Logger: logger, Sink: sink, Metrics: scope, MetricsAddress: metricsAddress, MetricsHandler: handler,
	}).Run(ctx)
}

// newDuties returns the calls that only one VM may make at a time, none if the settings
// name no address for them.
func newDuties(s settings.Settings, client *httpclient.Client) gateway.Duties {
	if s.Cloud == "" {
		return gateway.Duties{}
	}
	return gateway.Duties{
		Cloud: cloud.New(client, s.Cloud), ReportsUsage: s.ReportsUsage, OrdersServers: s.OrdersServers, Rate: s.CloudRate,
		Window: s.ReportWindow, Late: s.UsageLate,
	}
}

// notifySignals returns a channel that receives the signals, which no longer kill the
// process.
func notifySignals(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// reloader returns a function that reads the settings again and returns the names
// of the changed ones. A new address of the store is applied at once; other
// changes need a restart.
func reloader(s settings.Settings, platformStore *store.Client) func() (changed, restart []string, err error) {
	return func() (changed, restart []string, err error) {
		loaded, err := settings.Load()
		if err != nil || loaded == s {
			return nil, nil, err
		}
		if loaded.Store != s.Store {
			platformStore.SetAddress(loaded.Store)
		}
		before, after := reflect.ValueOf(s), reflect.ValueOf(loaded)
		for i := range before.NumField() {
			name := before.Type().Field(i).Name
			switch {
			case before.Field(i).Equal(after.Field(i)):
			case name == "Store":
				changed = append(changed, name)
			default:
				restart = append(restart, name)
			}
		}
		s = loaded
		return changed, restart, nil
	}
}
