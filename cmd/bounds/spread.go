package main

import "math"

// spread is the distribution of a quantity: sizes with weights if there are any, otherwise
// lognormal and cut off at Max.
type spread struct {
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"`
	Sizes   []float64 `toml:"sizes"`
	Weights []float64 `toml:"weights"`
}

const (
	// z95 is the 95th percentile of the standard normal distribution.
	z95 = 1.645
	// meanPoints is how many points a mean is taken over.
	meanPoints = 2000
)

// sigma is the standard deviation of the logarithm.
func (s spread) sigma() float64 {
	if s.P95 <= s.Median || s.Median <= 0 {
		return 0
	}
	return math.Log(s.P95/s.Median) / z95
}

// limit is Max, or infinity if there is none.
func (s spread) limit() float64 {
	if s.Max > 0 {
		return s.Max
	}
	return math.Inf(1)
}

// quantile is the i-th of n equally likely values of the lognormal quantity, before it is
// cut off.
func (s spread) quantile(i, n int) float64 {
	return s.Median * math.Exp(s.sigma()*normal(midpoint(i, n)))
}

// midpoint is the middle of the i-th of n equal parts of the interval from 0 to 1.
func midpoint(i, n int) float64 { return (float64(i) + 0.5) / float64(n) }

// normal is the quantile function of the standard normal distribution.
func normal(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }

func (s spread) mean() float64 {
	if len(s.Sizes) > 0 {
		sum, weights := 0.0, 0.0
		for i, weight := range s.Weights {
			sum += weight * s.Sizes[i]
			weights += weight
		}
		return sum / weights
	}
	if s.sigma() == 0 {
		return s.Median
	}
	sum := 0.0
	for i := range meanPoints {
		sum += math.Min(s.quantile(i, meanPoints), s.Max)
	}
	return sum / meanPoints
}

// points are about n equally likely values of the quantity.
func (s spread) points(n int) []float64 {
	if len(s.Sizes) > 0 {
		return s.sizePoints(n)
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = math.Min(s.quantile(i, n), s.limit())
	}
	return out
}

func (s spread) sizePoints(n int) []float64 {
	sum := 0.0
	for _, weight := range s.Weights {
		sum += weight
	}
	var out []float64
	for i, size := range s.Sizes {
		for range int(math.Round(float64(n) * s.Weights[i] / sum)) {
			out = append(out, size)
		}
	}
	return out
}

// beyond is the probability that the quantity is above x.
func (s spread) beyond(x float64) float64 {
	switch {
	case x >= s.limit():
		return 0
	case x <= 0:
		return 1
	case s.sigma() == 0:
		if x < s.Median {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(math.Log(x/s.Median)/s.sigma()/math.Sqrt2)
}
