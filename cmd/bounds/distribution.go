package main

import "math"

// distribution is the probability distribution of a quantity. If Sizes is not empty, the
// quantity takes these values with the probabilities in proportion to Weights. Otherwise it
// is lognormal with the given median and 95th percentile, and larger values are replaced by
// Max.
type distribution struct {
	Median       float64   `toml:"median"`
	Percentile95 float64   `toml:"p95"`
	Max          float64   `toml:"max"`
	Sizes        []float64 `toml:"sizes"`
	Weights      []float64 `toml:"weights"`
}

const (
	// z95 is the 95th percentile of the standard normal distribution.
	z95 = 1.645
	// meanSamples is the number of quantiles over which the mean is computed.
	meanSamples = 2000
)

// sigma returns the standard deviation of the logarithm of the quantity. It is 0 for a
// constant quantity.
func (d distribution) sigma() float64 {
	if d.Percentile95 <= d.Median || d.Median <= 0 {
		return 0
	}
	return math.Log(d.Percentile95/d.Median) / z95
}

// upperLimit returns Max, or infinity if Max is not set.
func (d distribution) upperLimit() float64 {
	if d.Max > 0 {
		return d.Max
	}
	return math.Inf(1)
}

// quantile returns the i-th of n equally likely values of the lognormal quantity, without the
// upper limit.
func (d distribution) quantile(i, n int) float64 {
	return d.Median * math.Exp(d.sigma()*standardNormalQuantile(midpoint(i, n)))
}

// midpoint returns the middle of the i-th of n equal parts of the interval from 0 to 1.
func midpoint(i, n int) float64 { return (float64(i) + 0.5) / float64(n) }

// standardNormalQuantile is the quantile function of the standard normal distribution.
func standardNormalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }

// mean returns the mean of the quantity. Max must be set for a lognormal quantity that is not
// constant; unlike samples, mean does not treat 0 as unlimited.
func (d distribution) mean() float64 {
	if len(d.Sizes) > 0 {
		sum, weights := 0.0, 0.0
		for i, weight := range d.Weights {
			sum += weight * d.Sizes[i]
			weights += weight
		}
		return sum / weights
	}
	if d.sigma() == 0 {
		return d.Median
	}
	sum := 0.0
	for i := range meanSamples {
		sum += math.Min(d.quantile(i, meanSamples), d.Max)
	}
	return sum / meanSamples
}

// samples returns n equally likely values of the quantity. With Sizes the number can differ
// from n because the count of each size is rounded.
func (d distribution) samples(n int) []float64 {
	if len(d.Sizes) > 0 {
		return d.sizeSamples(n)
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = math.Min(d.quantile(i, n), d.upperLimit())
	}
	return out
}

// sizeSamples returns about n values in which each size occurs in proportion to its weight.
func (d distribution) sizeSamples(n int) []float64 {
	sum := 0.0
	for _, weight := range d.Weights {
		sum += weight
	}
	var out []float64
	for i, size := range d.Sizes {
		for range int(math.Round(float64(n) * d.Weights[i] / sum)) {
			out = append(out, size)
		}
	}
	return out
}

// probabilityAbove returns the probability that the lognormal quantity is greater than x. It
// ignores Sizes and Weights.
func (d distribution) probabilityAbove(x float64) float64 {
	switch {
	case x >= d.upperLimit():
		return 0
	case x <= 0:
		return 1
	case d.sigma() == 0:
		if x < d.Median {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(math.Log(x/d.Median)/d.sigma()/math.Sqrt2)
}
