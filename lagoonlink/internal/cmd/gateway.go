package cmd

// #include <stdlib.h>
import "C" // links the program to the C library, as the platform asks

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

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/gateway"
	"lagoonlink.org/lagoonlink/internal/jobs"
	"lagoonlink.org/lagoonlink/internal/listener"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/platform/backend"
	"lagoonlink.org/platform/front"
	"lagoonlink.org/platform/settings"
	"lagoonlink.org/platform/store"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/exchange"
)

// Numbers of the process on the platform.
const (
	// gatewayConnect bounds the making of a connection; zones are 2 ms apart.
	gatewayConnect = 400 * time.Millisecond
	// gatewayIdle is below the 10 s for which backend servers keep connections.
	gatewayIdle = 8 * time.Second
	// gatewaySilence is how long a connection may acknowledge nothing.
	gatewaySilence = 1500 * time.Millisecond
	// gatewayBuffer is the size of a connection's buffers; requests have 1 KB.
	gatewayBuffer = 2 << 10
	// gatewayIdlePerServer bounds idle connections to one server.
	gatewayIdlePerServer = 16
	// storeIdle bounds idle connections to the store: one for each reader.
	storeIdle = 32
	// storeBuffer is the size of the buffers of a connection to the store: most reads
	// wait for records of 100 bytes each.
	storeBuffer = 4 << 10
	// heapGrowth is how many percent the heap may grow between two collections. An
	// idle VM has 1 MB in use; collecting it four times as often as by default costs
	// less than the memory that it saves.
	heapGrowth = 25
	// memoryShare is the part of the VM's memory above which the collector works
	// harder; the rest is for stacks and the kernel's buffers.
	memoryShare = 0.6
)

// serveOnPlatform runs an entry VM whose state lies in the platform's store.
func serveOnPlatform(ctx context.Context, metricsPort int) error {
	terminate, hangup := caught(syscall.SIGTERM, syscall.SIGINT), caught(syscall.SIGHUP)
	s, err := settings.Load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	sink := event.NewSink(os.Stdout)
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger := event.NewLogger(log)

	control := exchange.New(exchange.Config{Connect: gatewayConnect, IdlePerServer: storeIdle, Idle: gatewayIdle, Silence: gatewaySilence, Buffer: storeBuffer})
	servers := exchange.New(exchange.Config{
		Connect: gatewayConnect, IdlePerServer: gatewayIdlePerServer, Idle: gatewayIdle, Silence: gatewaySilence, Buffer: gatewayBuffer,
	})
	scope, handler, closer := metrics.New(map[string]string{"vm": s.VM, "zone": s.Zone})
	// What was counted since the last report is lost with the process.
	defer func() { _ = closer.Close() }()
	metricsAddress := ""
	if metricsPort > 0 {
		metricsAddress = net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
	}
	platformStore := store.New(control, s.Store)
	calls := backend.New(servers)
	return gateway.New(gateway.Config{
		VM: rollout.VMName(s.VM), Zone: rollout.Zone(s.Zone), Capacity: s.Capacity, Partitions: s.Partitions, RecordBytes: s.RecordBytes, CallBytes: s.CallBytes,
		Grace: s.Grace, OrderLease: s.OrderLease, MinMembership: s.MinMembership, ChecksFence: s.FencingRequired,
		Journal: platformStore, Groups: platformStore, Operator: store.Operator(platformStore), Servers: store.Servers(platformStore),
		Forwarder: calls, Engine: calls, Control: calls,
		Front: func(requests *relay.Relay, keeper *jobs.Keeper, ready func() bool) gateway.Front {
			return listener.New(listener.Config{
				Address: s.Front, Callers: front.New(requests, keeper), ReadyAddress: s.Ready, Ready: front.Readiness(ready),
			})
		},
		Terminate: terminate, Hangup: hangup, Reload: reloader(s, platformStore),
		Logger: logger, Sink: sink, Metrics: scope, MetricsAddress: metricsAddress, MetricsHandler: handler,
	}).Run(ctx)
}

// caught returns a channel of signals, which no longer end the process.
func caught(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// reloader returns a function that reads the settings again. A new address of
// the store is taken at once; other changes need a new start.
func reloader(s settings.Settings, platformStore *store.Client) func() (changed, restart []string, err error) {
	return func() (changed, restart []string, err error) {
		now, err := settings.Load()
		if err != nil || now == s {
			return nil, nil, err
		}
		if now.Store != s.Store {
			platformStore.Move(now.Store)
		}
		before, after := reflect.ValueOf(s), reflect.ValueOf(now)
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
		s = now
		return changed, restart, nil
	}
}
