// Package service puts a controller together from its settings.
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
	"slices"
	"strings"

	"roadcleat/internal/agent"
	"roadcleat/internal/api"
	"roadcleat/internal/cloud"
	"roadcleat/internal/config"
	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/model"
	"roadcleat/internal/peer"
	rt "roadcleat/internal/runtime"
	"roadcleat/internal/state"
)

// Run runs a controller until the context ends or it can't go on.
func Run(ctx context.Context, s *config.Settings, o *config.Operator, logTo io.Writer) error {
	if ctx == nil {
		ctx = context.Background()
	}
	limitProcess(s)
	log := slog.New(slog.NewTextHandler(logTo, &slog.HandlerOptions{Level: level(os.Getenv("LOG_LEVEL"))}))

	for _, w := range s.Warnings(o) {
		log.Warn("settings", "field", w)
	}
	apiLn, err := net.Listen("tcp", s.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	defer apiLn.Close()
	peerLn, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	defer peerLn.Close()

	share := 1 / float64(1+len(s.Others))
	d := &s.Deployment
	st := state.New(s.External.State, 0.93*d.State.RPS, 0.93*d.State.WriteRPS, d.State.TxnOps, share)
	cl := cloud.New(s.External.Cloud, 0.93*d.Cloud.RPS, share)
	var links []*peer.Link
	var labels []string
	for _, other := range s.Others {
		links = append(links, peer.NewLink(s.Label, other.PeerAddr, log))
		labels = append(labels, other.Label)
	}
	seen := metrics.New()
	b := socketsFor(s)
	bounds := rt.Bounds{WorkerCalls: b.workers, Requests: b.callers}
	r := rt.New(core.New(CoreConfig(s, o, rand.Uint64())), st, cl, agent.New(b.workers), bounds, links, seen, log)
	for _, l := range links {
		go l.Run(ctx)
	}
	go peer.Serve(ctx, peerLn, labels, peer.MessageBytes(d.Resources.MemoryMB), r.Deliver, log)
	go r.Run(ctx)
	log.Info("controller started", "label", s.Label, "zone", s.Location)
	return api.New(r, seen, log).Serve(ctx, apiLn, b.callers, config.Seconds(d.Workers.HeartbeatSeconds))
}

// sockets is how the sockets that this controller may have are divided.
type sockets struct {
	callers int // users, workers, health checks
	workers int // calls to workers
}

// defaultSockets is how many sockets are used where the settings name no limit.
const defaultSockets = 16384

// socketsFor divides them: some for the state service, the cloud, the other
// controllers and what is just being closed, a fifth of the rest for calls to
// workers, the remainder to those who call.
func socketsFor(s *config.Settings) sockets {
	all := s.Deployment.Resources.FDLimit
	if all <= 0 {
		all = defaultSockets
	}
	rest := all - min(64+8*len(s.Others), all/3)
	workers := max(rest/5, 4)
	return sockets{callers: rest - workers, workers: workers}
}

// limitProcess keeps the process within its machine.
func limitProcess(s *config.Settings) {
	r := s.Deployment.Resources
	if r.CoreShare > 0 {
		runtime.GOMAXPROCS(max(int(r.CoreShare+0.999), 1))
	}
	if r.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(r.MemoryMB * 0.6 * (1 << 20)))
		debug.SetGCPercent(300)
	}
}

func level(s string) slog.Level {
	switch strings.ToLower(s) {
	case "debug":
		return slog.LevelDebug
	case "info":
		return slog.LevelInfo
	}
	return slog.LevelError
}

// CoreConfig turns the settings into the core's terms.
func CoreConfig(s *config.Settings, o *config.Operator, boot uint64) core.Config {
	d := &s.Deployment
	sec := config.Seconds
	cfg := core.Config{
		Label: s.Label, Zone: s.Location, Zones: d.Zones, CompletionObjectives: map[string][]float64{}, DeadlineObjectives: map[string][]float64{}, StartObjectives: map[string]float64{},
		HeartbeatInterval: sec(d.Workers.HeartbeatSeconds), WorkerLease: sec(d.Workers.LeaseSeconds), CancelWithin: sec(d.Workers.CancelSeconds),
		MaxWorkerCalls: socketsFor(s).workers, ListLag: sec(d.Cloud.ListLagSeconds), MaxTxnOps: d.State.TxnOps, WritesPerSecond: d.State.WriteRPS, MaxValueBytes: int(d.State.ValueKB * 1024),
		Epoch: boot, Seed: boot,
		Tuning: o.Tuning(),
	}
	for _, other := range s.Others {
		cfg.Peers = append(cfg.Peers, core.PeerConfig{Label: other.Label, Zone: other.Location})
	}
	for _, t := range d.Teams {
		cfg.Teams = append(cfg.Teams, core.Team{Name: t.Name, Guarantee: model.Resources{Cores: t.CPUs, GPUs: t.GPUs},
			Limit: model.Resources{Cores: t.CPUsMax, GPUs: t.GPUsMax}})
	}
	for _, ob := range d.Objectives {
		switch {
		case ob.Kind == "finished" && ob.WithinSeconds > 0:
			cfg.CompletionObjectives[ob.Class] = append(cfg.CompletionObjectives[ob.Class], ob.WithinSeconds)
		case ob.Kind == "wait" && ob.WithinSeconds > 0:
			if was, ok := cfg.StartObjectives[ob.Class]; !ok || ob.WithinSeconds < was {
				cfg.StartObjectives[ob.Class] = ob.WithinSeconds
			}
		case ob.Kind == "deadline" && ob.Times > 0:
			cfg.DeadlineObjectives[ob.Class] = append(cfg.DeadlineObjectives[ob.Class], ob.Times)
		}
	}
	for _, aims := range []map[string][]float64{cfg.CompletionObjectives, cfg.DeadlineObjectives} {
		for _, list := range aims {
			slices.Sort(list)
		}
	}
	return cfg
}
