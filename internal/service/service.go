// Package service puts a controller together from its settings.
//
// Run opens the listeners first, so that a wrong address ends the start before anything else
// has begun, and has ended all goroutines that it started when it returns.
package service

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"

	"roadcleat/internal/agent"
	"roadcleat/internal/api"
	"roadcleat/internal/cloud"
	"roadcleat/internal/config"
	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/peer"
	rt "roadcleat/internal/runtime"
	"roadcleat/internal/state"
)

// budgetShare is the share of the budgets of the state service and the cloud that the
// controllers use together; the rest is a margin.
const budgetShare = 0.93

const (
	// memoryLimitShare is the Go memory limit's share of the memory granted.
	memoryLimitShare = 0.6

	// gcPercent makes garbage collections rarer below the memory limit, to save processor
	// time.
	gcPercent = 300
)

// logLevelEnv names the log level: "debug", "info", or errors only.
const logLevelEnv = "LOG_LEVEL"

// Run runs a controller until the context ends or it can't go on.
func Run(ctx context.Context, s *config.Settings, o *config.Operator, logTo io.Writer) error {
	limitProcess(s)
	log := slog.New(slog.NewTextHandler(logTo, &slog.HandlerOptions{Level: logLevel(os.Getenv(logLevelEnv))}))
	for _, warning := range s.Warnings(o) {
		log.Warn("settings", "field", warning)
	}
	apiListener, err := net.Listen("tcp", s.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	defer apiListener.Close()
	peerListener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	defer peerListener.Close()

	links, labels := peersOf(s, log)
	collector := metrics.New()
	sockets := socketsFor(s)
	controller := newRuntime(s, o, sockets, links, collector, log)

	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for _, link := range links {
		background.Go(func() { link.Run(ctx) })
	}
	background.Go(func() {
		maxMessage := peer.MessageBytes(s.Deployment.Resources.MemoryMB)
		peer.Serve(ctx, peerListener, labels, maxMessage, controller.Deliver, log)
	})
	background.Go(func() { controller.Run(ctx) })
	log.Info("controller started", "label", s.Label, "zone", s.Location)
	heartbeatInterval := config.Seconds(s.Deployment.Workers.HeartbeatSeconds)
	return api.New(controller, collector, log).Serve(ctx, apiListener, sockets.callers, heartbeatInterval)
}

// peersOf makes a link to each other controller; labels are theirs, in the same order.
func peersOf(s *config.Settings, log *slog.Logger) (links []*peer.Link, labels []string) {
	for _, other := range s.Others {
		links = append(links, peer.NewLink(s.Label, other.PeerAddr, log))
		labels = append(labels, other.Label)
	}
	return links, labels
}

// newRuntime makes the runtime with its core and clients. The clients begin with an equal
// share of the budgets.
func newRuntime(s *config.Settings, o *config.Operator, sockets sockets, links []*peer.Link,
	collector *metrics.Set, log *slog.Logger) *rt.Runtime {
	d := &s.Deployment
	share := 1 / float64(1+len(s.Others))
	requests, changes := budgetShare*d.State.RPS, budgetShare*d.State.WriteRPS
	stateClient := state.New(s.External.State, requests, changes, d.State.TxnOps, share)
	cloudClient := cloud.New(s.External.Cloud, budgetShare*d.Cloud.RPS, share)
	workers := agent.New(sockets.workers)
	bounds := rt.Bounds{WorkerCalls: sockets.workers, Requests: sockets.callers}
	c := core.New(CoreConfig(s, o, rand.Uint64()))
	return rt.New(c, stateClient, cloudClient, workers, bounds, links, collector, log)
}

// limitProcess keeps the process within the share of its machine that the settings grant.
func limitProcess(s *config.Settings) {
	granted := s.Deployment.Resources
	if granted.CoreShare > 0 {
		runtime.GOMAXPROCS(max(int(granted.CoreShare+0.999), 1))
	}
	if granted.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(granted.MemoryMB * memoryLimitShare * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	}
}

func logLevel(name string) slog.Level {
	switch strings.ToLower(name) {
	case "debug":
		return slog.LevelDebug
	case "info":
		return slog.LevelInfo
	}
	return slog.LevelError
}
