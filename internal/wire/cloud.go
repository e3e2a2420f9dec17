package wire

import (
	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// machineType is one machine type of the cloud's catalog.
type machineType struct {
	Name             string   `json:"Name"`
	Cores            float64  `json:"Cores"`
	GPUs             float64  `json:"Cards"`
	MemoryGB         float64  `json:"MemGb"`
	CacheGB          float64  `json:"CacheGb"`
	FetchGBPerSecond float64  `json:"PullGbPerS"`
	Price            float64  `json:"Rate"`        // per hour, on demand
	SpotPrice        float64  `json:"MarketPrice"` // per hour, nominal price of a spot instance
	BootSeconds      float64  `json:"BootS"`
	Zones            []string `json:"Yards"`
}

// toModel converts the machine type to the scheduler's form.
func (t machineType) toModel() model.MachineType {
	return model.MachineType{
		Name:             t.Name,
		Capacity:         model.Resources{Cores: t.Cores, GPUs: t.GPUs, MemoryGB: t.MemoryGB},
		CacheGB:          t.CacheGB,
		FetchGBPerSecond: t.FetchGBPerSecond,
		PricePerHour:     t.Price,
		SpotPricePerHour: t.SpotPrice,
		BootSeconds:      t.BootSeconds,
		Zones:            t.Zones,
	}
}

// DecodeCatalog decodes the cloud's reply to GET /catalog: the machine types.
func DecodeCatalog(body []byte) ([]model.MachineType, error) {
	var catalog struct {
		Types []machineType `json:"Breeds"`
	}
	if err := decode("catalogue", body, &catalog); err != nil {
		return nil, err
	}
	var types []model.MachineType
	for _, t := range catalog.Types {
		types = append(types, t.toModel())
	}
	return types, nil
}

// rentRequest is a request to rent machines. The cloud recognizes a repeated request by its
// name and does not rent the machines twice.
type rentRequest struct {
	Name  string `json:"Hire"`
	Type  string `json:"Breed"`
	Zone  string `json:"Yard"`
	Spot  bool   `json:"Loaners"`
	Count int    `json:"Number"`
}

// EncodeRentRequest encodes the body of the cloud's POST /hosts.
func EncodeRentRequest(op core.RentHosts) []byte {
	return encode(rentRequest{Name: op.Name, Type: op.Type, Zone: op.Zone, Spot: op.Spot, Count: op.Count})
}

// hostNames is a list of machine names.
type hostNames struct {
	Hosts []string `json:"Hosts"`
}

// DecodeRentedHosts decodes the cloud's reply to POST /hosts: the names of the rented machines.
func DecodeRentedHosts(body []byte) ([]string, error) {
	var reply hostNames
	if err := decode("rental", body, &reply); err != nil {
		return nil, err
	}
	return reply.Hosts, nil
}

// EncodeReturnRequest encodes the body of the cloud's POST /hosts/return.
func EncodeReturnRequest(hosts []string) []byte { return encode(hostNames{Hosts: hosts}) }

// listedHost is an entry of the cloud's list of rented machines.
type listedHost struct {
	Name          string  `json:"Ref"`
	Address       string  `json:"Endpoint"`
	Type          string  `json:"Breed"`
	Zone          string  `json:"Yard"`
	Spot          bool    `json:"Loaners"`
	State         string  `json:"Standing"`
	RentedSeconds float64 `json:"HeldS"`
}

// DecodeHosts decodes the cloud's reply to GET /hosts: a page of the machine list, and whether
// more pages follow.
func DecodeHosts(body []byte) (hosts []model.ListedHost, more bool, err error) {
	var page struct {
		Hosts     []listedHost `json:"Hosts"`
		Truncated bool         `json:"Truncated"`
	}
	if err := decode("machine list", body, &page); err != nil {
		return nil, false, err
	}
	for _, h := range page.Hosts {
		hosts = append(hosts, model.ListedHost{
			Name:          h.Name,
			Address:       h.Address,
			Type:          h.Type,
			Zone:          h.Zone,
			Spot:          h.Spot,
			State:         h.State,
			RentedSeconds: h.RentedSeconds,
		})
	}
	return hosts, page.Truncated, nil
}
