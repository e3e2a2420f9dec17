package service

import (
	"slices"

	"roadcleat/internal/config"
	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const bytesPerKB = 1024

// CoreConfig converts the settings of the platform and of the operators to the configuration of
// the core. epoch distinguishes this process from earlier processes of the same controller. It
// also seeds the core's random number generator.
func CoreConfig(settings *config.Settings, operator *config.OperatorConfig, epoch uint64) core.Config {
	deployment := &settings.Deployment
	cfg := core.Config{
		Label:                settings.Label,
		Zone:                 settings.Zone,
		Zones:                deployment.Zones,
		CompletionObjectives: map[string][]float64{},
		DeadlineObjectives:   map[string][]float64{},
		StartObjectives:      map[string]float64{},
		HeartbeatInterval:    config.Seconds(deployment.Workers.HeartbeatSeconds),
		WorkerLease:          config.Seconds(deployment.Workers.LeaseSeconds),
		CancelWithin:         config.Seconds(deployment.Workers.CancelSeconds),
		MaxWorkerCalls:       divideSockets(settings).workerCalls,
		HostListLag:          config.Seconds(deployment.Cloud.ListLagSeconds),
		MaxTxnMutations:      deployment.StateService.MaxTxnMutations,
		WritesPerSecond:      deployment.StateService.WritesPerSecond,
		MaxValueBytes:        int(deployment.StateService.MaxValueKB * bytesPerKB),
		Epoch:                epoch,
		Seed:                 epoch,
		Tuning:               operator.Tuning(),
	}
	for _, other := range settings.Peers {
		cfg.Peers = append(cfg.Peers, core.PeerConfig{Label: other.Label, Zone: other.Zone})
	}
	for _, team := range deployment.Teams {
		cfg.Teams = append(cfg.Teams, core.Team{
			Name:      team.Name,
			Guarantee: model.Resources{Cores: team.GuaranteedCores, GPUs: team.GuaranteedGPUs},
			Limit:     model.Resources{Cores: team.MaxCores, GPUs: team.MaxGPUs},
		})
	}
	for _, objective := range deployment.Objectives {
		addObjective(&cfg, objective)
	}
	for _, byClass := range []map[string][]float64{cfg.CompletionObjectives, cfg.DeadlineObjectives} {
		for _, objectives := range byClass {
			slices.Sort(objectives)
		}
	}
	return cfg
}

// addObjective adds an objective to the configuration. Objectives of other kinds and those
// without a positive value are ignored. If a class has several objectives for the start of its
// tasks, the strictest applies.
func addObjective(cfg *core.Config, objective config.Objective) {
	switch {
	case objective.Kind == config.ObjectiveFinished && objective.WithinSeconds > 0:
		cfg.CompletionObjectives[objective.Class] = append(cfg.CompletionObjectives[objective.Class], objective.WithinSeconds)
	case objective.Kind == config.ObjectiveWait && objective.WithinSeconds > 0:
		if strictest, ok := cfg.StartObjectives[objective.Class]; !ok || objective.WithinSeconds < strictest {
			cfg.StartObjectives[objective.Class] = objective.WithinSeconds
		}
	case objective.Kind == config.ObjectiveDeadline && objective.DeadlineFactor > 0:
		cfg.DeadlineObjectives[objective.Class] = append(cfg.DeadlineObjectives[objective.Class], objective.DeadlineFactor)
	}
}
