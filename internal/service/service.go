// Package service assembles a controller from its settings and runs it.
//
// Run opens the listeners first, so that it fails on an invalid address before it starts
// anything else. All goroutines that it started have stopped when it returns.
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

// budgetUseRatio is the ratio of the call budgets of the state service and the cloud that all
// controllers together may use. The rest is a safety margin.
const budgetUseRatio = 0.93

const (
	// goMemoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory that
	// the settings grant.
	goMemoryLimitRatio = 0.6

	// gcPercent is the GOGC value. It is above the default of 100 so that the garbage collector
	// runs less often below the memory limit, which saves processor time.
	gcPercent = 300

	bytesPerMB = 1 << 20
)

// logLevelEnv is the environment variable that selects the log level: "debug" or "info". Any
// other value selects errors only.
const logLevelEnv = "LOG_LEVEL"

// Run runs a controller until the context is cancelled. It returns an error if a listener can't
// be opened or the HTTP server fails. The log is written to logOutput.
func Run(ctx context.Context, settings *config.Settings, operator *config.OperatorConfig, logOutput io.Writer) error {
	limitProcess(settings)
	log := slog.New(slog.NewTextHandler(logOutput, &slog.HandlerOptions{Level: parseLogLevel(os.Getenv(logLevelEnv))}))
	for _, warning := range settings.Warnings(operator) {
		log.Warn("questionable settings", "field", warning)
	}
	apiListener, err := net.Listen("tcp", settings.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	defer apiListener.Close()
	peerListener, err := net.Listen("tcp", settings.PeerListenAddr)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	defer peerListener.Close()

	links, labels := newPeerLinks(settings, log)
	metricSet := metrics.New()
	limits := divideSockets(settings)
	coreRuntime := newRuntime(settings, operator, limits, links, metricSet, log)

	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for _, link := range links {
		background.Go(func() { link.Run(ctx) })
	}
	background.Go(func() {
		maxMessageBytes := peer.MessageLimitBytes(settings.Deployment.Resources.MemoryMB)
		peer.Serve(ctx, peerListener, labels, maxMessageBytes, coreRuntime.Deliver, log)
	})
	background.Go(func() { coreRuntime.Run(ctx) })
	log.Info("controller started", "label", settings.Label, "zone", settings.Zone)
	heartbeatInterval := config.Seconds(settings.Deployment.Workers.HeartbeatSeconds)
	return api.New(coreRuntime, metricSet, log).Serve(ctx, apiListener, limits.incoming, heartbeatInterval)
}

// newPeerLinks returns a link to each of the other controllers, and their labels in the same
// order.
func newPeerLinks(settings *config.Settings, log *slog.Logger) (links []*peer.Link, labels []string) {
	for _, other := range settings.Peers {
		links = append(links, peer.NewLink(settings.Label, other.PeerAddr, log))
		labels = append(labels, other.Label)
	}
	return links, labels
}

// newRuntime returns a runtime with its core and its clients of the state service, the cloud and
// the workers. The clients of the state service and the cloud start with this controller's
// equal share of the call budgets.
func newRuntime(settings *config.Settings, operator *config.OperatorConfig, limits socketLimits, links []*peer.Link,
	metricSet *metrics.Set, log *slog.Logger) *rt.Runtime {
	deployment := &settings.Deployment
	equalShare := 1 / float64(1+len(settings.Peers))
	requestsPerSecond, writesPerSecond := budgetUseRatio*deployment.StateService.RequestsPerSecond, budgetUseRatio*deployment.StateService.WritesPerSecond
	stateClient := state.New(settings.External.StateServiceAddr, requestsPerSecond, writesPerSecond, deployment.StateService.MaxTxnMutations, equalShare)
	cloudClient := cloud.New(settings.External.CloudAddr, budgetUseRatio*deployment.Cloud.RequestsPerSecond, equalShare)
	workerClient := agent.New(limits.workerCalls)
	runtimeLimits := rt.Limits{WorkerCalls: limits.workerCalls, ClientRequests: limits.incoming}
	controllerCore := core.New(CoreConfig(settings, operator, rand.Uint64()))
	return rt.New(controllerCore, stateClient, cloudClient, workerClient, runtimeLimits, links, metricSet, log)
}

// limitProcess sets the limits of the Go runtime: the number of processor cores that the settings
// grant, rounded up to a whole one, and a soft memory limit below the memory that they grant.
func limitProcess(settings *config.Settings) {
	resources := settings.Deployment.Resources
	if resources.Cores > 0 {
		runtime.GOMAXPROCS(max(int(resources.Cores+0.999), 1))
	}
	if resources.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(resources.MemoryMB * goMemoryLimitRatio * bytesPerMB))
		debug.SetGCPercent(gcPercent)
	}
}

// parseLogLevel returns the log level for a value of logLevelEnv.
func parseLogLevel(name string) slog.Level {
	switch strings.ToLower(name) {
	case "debug":
		return slog.LevelDebug
	case "info":
		return slog.LevelInfo
	}
	return slog.LevelError
}
