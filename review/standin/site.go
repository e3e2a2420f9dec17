package main

import "time"

// machineType is an entry of the cloud's catalog.
type machineType struct {
	Name        string
	Cores       float64
	GPUs        float64 `json:"Cards"`
	MemGb       float64
	CacheGb     float64
	PullGbPerS  float64
	Rate        float64
	MarketPrice float64
	BootS       float64
	Zones       []string `json:"Yards"`
}

// team is a team of the settings file.
type team struct {
	Name    string  `json:"name"`
	Cpus    float64 `json:"cpus"`
	CpusMax float64 `json:"cpus_max"`
	Gpus    float64 `json:"gpus"`
	GpusMax float64 `json:"gpus_max"`
}

// site is a deployment with the values of its page.
type site struct {
	name          string
	nodes         []nodeConfig
	zones         []string
	types         []machineType
	teams         []team
	stateRPS      float64
	stateWriteRPS float64
	valueKB       float64
	txnOps        int
	cloudRPS      float64
	listLag       time.Duration
	report        time.Duration
	lease         time.Duration
	cancel        time.Duration
	restartDelay  time.Duration
	coreShare     float64
	memoryMB      float64
	sockets       int
}

// nodeConfig is a controller's name and zone.
type nodeConfig struct{ label, zone string }

// swanlic is the deployment of the page "Swan Licence Commons Perth Cluster" in BRIEF.
func swanlic() *site {
	zones := []string{"bunbury-shed", "perth-rack", "pilbara-edge"}
	return &site{
		name:  "swanlic-wa",
		nodes: []nodeConfig{{"paddock-0", "perth-rack"}, {"paddock-1", "bunbury-shed"}, {"paddock-2", "pilbara-edge"}},
		zones: zones,
		types: []machineType{
			{Name: "quokka", Cores: 4, MemGb: 32, CacheGb: 40, PullGbPerS: 0.5, Rate: 0.32, MarketPrice: 0.13, BootS: 40, Zones: zones},
			{Name: "marri", Cores: 16, MemGb: 32, CacheGb: 60, PullGbPerS: 0.2, Rate: 0.95, MarketPrice: 0.37, BootS: 35, Zones: zones[:2]},
		},
		teams: []team{
			{Name: "member-desk", Cpus: 88, CpusMax: 250},
			{Name: "vendor-liaison", Cpus: 64, CpusMax: 216},
			{Name: "daemon-ops", Cpus: 32, CpusMax: 88},
		},
		stateRPS: 150, stateWriteRPS: 50, valueKB: 16, txnOps: 12,
		cloudRPS: 5, listLag: 6 * time.Second,
		report: 3 * time.Second, lease: 36 * time.Second, cancel: 66 * time.Second,
		restartDelay: 5 * time.Second,
		coreShare:    0.144, memoryMB: 179, sockets: 1500,
	}
}

// prairieform is the deployment of the page "Prairieform Templates Regina Migration Cluster" in BRIEF.
func prairieform() *site {
	zones := []string{"regina-vault", "saskatoon-annex", "winnipeg-colo"}
	return &site{
		name:  "prairieform-yqr",
		nodes: []nodeConfig{{"paddock-0", "regina-vault"}, {"paddock-1", "saskatoon-annex"}, {"paddock-2", "winnipeg-colo"}},
		zones: zones,
		types: []machineType{
			{Name: "gopher", Cores: 8, MemGb: 32, CacheGb: 40, PullGbPerS: 0.5, Rate: 0.45, MarketPrice: 0.21, BootS: 20, Zones: zones},
			{Name: "bison", Cores: 16, MemGb: 128, CacheGb: 60, PullGbPerS: 0.5, Rate: 1.13, MarketPrice: 0.46, BootS: 25, Zones: zones},
			{Name: "combine", Cores: 32, MemGb: 128, CacheGb: 60, PullGbPerS: 0.5, Rate: 1.97, MarketPrice: 0.87, BootS: 20, Zones: zones},
		},
		teams: []team{
			{Name: "drafting-office-0", Cpus: 32, CpusMax: 96},
			{Name: "drafting-office-1", Cpus: 32, CpusMax: 96},
			{Name: "drafting-office-2", Cpus: 32, CpusMax: 96},
		},
		stateRPS: 200, stateWriteRPS: 80, valueKB: 32, txnOps: 48,
		cloudRPS: 5, listLag: 3 * time.Second,
		report: 2500 * time.Millisecond, lease: 14 * time.Second, cancel: 44 * time.Second,
		restartDelay: 3 * time.Second,
		coreShare:    0.144, memoryMB: 179, sockets: 1500,
	}
}

// prairieformOps is the deployment of the page "What we have met since", with the settings of
// prairieform: "The deployment is as before".
func prairieformOps() *site {
	s := prairieform()
	s.name = "prairieform-yqr-ops"
	return s
}

func (s *site) machineType(name string) *machineType {
	for i := range s.types {
		if s.types[i].Name == name {
			return &s.types[i]
		}
	}
	return nil
}
