package wire

import (
	"encoding/json"
	"fmt"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

type breed struct {
	Name              string
	Cores, Cards      float64
	MemGb, CacheGb    float64
	PullGbPerS        float64
	Rate, MarketPrice float64
	BootS             float64
	Yards             []string
}

// DecodeCatalog reads the machine types.
func DecodeCatalog(body []byte) ([]model.MachineType, error) {
	var c struct{ Breeds []breed }
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	var out []model.MachineType
	for _, b := range c.Breeds {
		out = append(out, model.MachineType{Name: b.Name, Capacity: model.Resources{Cores: b.Cores, GPUs: b.Cards, MemoryGB: b.MemGb},
			CacheGB: b.CacheGb, FetchGBPerSecond: b.PullGbPerS, Price: b.Rate, SpotPrice: b.MarketPrice, BootSeconds: b.BootS, Zones: b.Yards})
	}
	return out, nil
}

// EncodeRentRequest writes a rental request.
func EncodeRentRequest(op core.RentHosts) []byte {
	b, _ := json.Marshal(struct {
		Hire, Breed, Yard string
		Loaners           bool
		Number            int
	}{op.Name, op.Type, op.Zone, op.Spot, op.Count})
	return b
}

// EncodeReturnRequest writes the names of machines to give back.
func EncodeReturnRequest(hosts []string) []byte {
	b, _ := json.Marshal(struct{ Hosts []string }{hosts})
	return b
}

// DecodeRented reads the names of the machines rented.
func DecodeRented(body []byte) ([]string, error) {
	var h struct{ Hosts []string }
	if err := json.Unmarshal(body, &h); err != nil {
		return nil, fmt.Errorf("rental: %w", err)
	}
	return h.Hosts, nil
}

// DecodeHosts reads a page of the machine list and whether more follow.
func DecodeHosts(body []byte) ([]model.ListedHost, bool, error) {
	var l struct {
		Hosts []struct {
			Ref, Endpoint, Breed, Yard string
			Loaners                    bool
			Standing                   string
			HeldS                      float64
		}
		Truncated bool
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, false, fmt.Errorf("machine list: %w", err)
	}
	var out []model.ListedHost
	for _, h := range l.Hosts {
		out = append(out, model.ListedHost{Name: h.Ref, Address: h.Endpoint, Type: h.Breed, Zone: h.Yard, Spot: h.Loaners,
			State: h.Standing, RentedSeconds: h.HeldS})
	}
	return out, l.Truncated, nil
}
