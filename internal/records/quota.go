package records

import "encoding/json"

// Grant is the amount of a team's limit that a shard may use.
type Grant struct {
	Cores float64 `json:"c"`
	GPUs  float64 `json:"g"`
}

// Min returns the smaller amount of two grants in each resource.
func (g Grant) Min(other Grant) Grant {
	return Grant{Cores: min(g.Cores, other.Cores), GPUs: min(g.GPUs, other.GPUs)}
}

// Grants are a team's grants by zone. Their sum never exceeds the team's limit.
type Grants map[string]Grant

// Encode returns the value of a team's grants.
func (g Grants) Encode() []byte {
	value, _ := json.Marshal(g) // cannot fail: the numbers are finite
	return value
}

// DecodeGrants decodes the value of a team's grants. The result is never nil.
func DecodeGrants(value []byte) (Grants, error) {
	g := Grants{}
	if err := json.Unmarshal(value, &g); err != nil {
		return Grants{}, &UnreadableError{Record: "quota", Err: err}
	}
	if g == nil {
		g = Grants{} // the value was null
	}
	return g, nil
}

// Sum returns the total of all shards' grants.
func (g Grants) Sum() Grant {
	var sum Grant
	for _, grant := range g {
		sum.Cores += grant.Cores
		sum.GPUs += grant.GPUs
	}
	return sum
}
