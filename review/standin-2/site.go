package main

import "runtime"

func lockThread() { runtime.LockOSThread() }

// Site holds the settings of a small deployment.
type Site struct {
	Zones, NodeZones         []string
	ReportS, LeaseS, CancelS float64
	RPS, WriteRPS, ValueKB   float64
	TxnOps                   int
	ListLagS                 float64
	Types                    []Type
	Teams                    []Team
	Capacity                 map[kind]int
}

// Type is a machine type.
type Type struct {
	Name                       string
	Cores, MemGB, Rate, Market float64
	CacheGB, PullGBPerS, BootS float64
	Zones                      []string
	GPUs                       float64
}

// Team is a team with its guarantee and limit.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
	GPUs, GPUsMax float64
}

func (s *Site) typ(name string) Type {
	for _, t := range s.Types {
		if t.Name == name {
			return t
		}
	}
	return Type{}
}

func (s *Site) team(name string) Team {
	for _, t := range s.Teams {
		if t.Name == name {
			return t
		}
	}
	return Team{}
}

// prairie is like the small Regina deployment of the brief.
func prairie() *Site {
	zones := []string{"regina-vault", "saskatoon-annex", "winnipeg-colo"}
	s := &Site{Zones: zones, NodeZones: zones, ReportS: 2.5, LeaseS: 14, CancelS: 44, RPS: 200, WriteRPS: 80, ValueKB: 32, TxnOps: 48, ListLagS: 3,
		Types: []Type{
			{"gopher", 8, 32, 0.45, 0.21, 60, 0.3, 20, zones, 0},
			{"bison", 16, 128, 1.13, 0.46, 60, 0.8, 25, zones, 0},
			{"combine", 32, 128, 1.97, 0.87, 50, 0.8, 20, zones, 0},
		},
		Capacity: map[kind]int{}}
	for i := range 10 {
		s.Teams = append(s.Teams, Team{"drafting-office-" + string(rune('a'+i)), 32, 96, 0, 0})
	}
	for _, z := range zones {
		s.Capacity[kind{"gopher", z, true}] = 3
		s.Capacity[kind{"bison", z, true}] = 2
		s.Capacity[kind{"combine", z, true}] = 1
	}
	return s
}

// swan is like the small Perth deployment of the brief.
func swan() *Site {
	zones := []string{"bunbury-shed", "perth-rack", "pilbara-edge"}
	s := &Site{Zones: zones, NodeZones: []string{"perth-rack", "bunbury-shed", "pilbara-edge"}, ReportS: 3, LeaseS: 36, CancelS: 66,
		RPS: 150, WriteRPS: 50, ValueKB: 16, TxnOps: 12, ListLagS: 6,
		Types: []Type{
			{"quokka", 4, 32, 0.32, 0.13, 40, 0.5, 40, zones, 0},
			{"marri", 16, 32, 0.95, 0.37, 60, 0.2, 35, zones[:2], 0},
		},
		Teams:    []Team{{"member-desk", 88, 250, 0, 0}, {"vendor-liaison", 64, 216, 0, 0}, {"daemon-ops", 32, 88, 0, 0}},
		Capacity: map[kind]int{}}
	for _, z := range zones {
		s.Capacity[kind{"quokka", z, true}] = 6
		s.Capacity[kind{"quokka", z, false}] = 5
	}
	for _, z := range zones[:2] {
		s.Capacity[kind{"marri", z, true}] = 3
		s.Capacity[kind{"marri", z, false}] = 4
	}
	return s
}

// batavia is like the small form of the Geraldton deployment: three zones, all controllers in one.
func batavia() *Site {
	zones := []string{"albany-vault", "geraldton-hall", "kalgoorlie-pod"}
	home := "geraldton-hall"
	s := &Site{Zones: zones, NodeZones: []string{home, home, home}, ReportS: 8, LeaseS: 38, CancelS: 58, RPS: 100, WriteRPS: 25, ValueKB: 4,
		TxnOps: 12, ListLagS: 4,
		Types:    []Type{{"jarrah-node", 96, 768, 27.46, 6.52, 120, 0.2, 60, zones, 8}},
		Teams:    []Team{{"flow-crew", 0, 0, 32, 280}},
		Capacity: map[kind]int{}}
	for i, z := range zones {
		s.Capacity[kind{"jarrah-node", z, false}] = 5 + i
		s.Capacity[kind{"jarrah-node", z, true}] = 4
	}
	return s
}

// initial brings up one machine of each type in each zone, as at the start of Regina's days.
func (b *Bed) initial() {
	b.cloud.mu.Lock()
	defer b.cloud.mu.Unlock()
	for _, z := range b.site.Zones {
		for _, t := range b.site.Types {
			b.cloud.rent(kind{t.Name, z, false}, 0)
		}
	}
}
