package balance

import (
	"math"
	"testing"
)

// Example 1 of the paper: X1 = 2; X2 = 1 with probability 0.9, else 20. The best threshold from worker 2 to
// worker 1 is 1, and the reverse is infinite. Equation (27) gives R = 1/1.2*(1/2) + 1/1.2 = 1.25, an upper
// bound on AdaRep's 1.2185 of equation (10).
func TestThresholdsOfPaperExample1(t *testing.T) {
	x1, x2 := []float64{2}, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 20}
	forward, reverse := CopyThresholds(x1, x2, []float64{1}, 0)
	if rate := oneWayThroughput(x2, x1, []float64{1}, 0, 1); reverse != 1 || math.Abs(rate-1.25) > 1e-9 {
		t.Fatalf("threshold %v, rate %v", reverse, rate)
	}
	if none := oneWayThroughput(x2, x1, []float64{1}, 0, math.Inf(1)); math.Abs(none-0.8448) > 1e-3 {
		t.Fatalf("rate without copies %v, the paper's equation (6) has 0.8448", none)
	}
	if !math.IsInf(forward, 1) {
		t.Fatalf("threshold from the worker without variance is %v", forward)
	}
}

// If one threshold is larger than every sample, equation (23) reduces to (27).
func TestTwoWayThroughputAgreesWithOneWay(t *testing.T) {
	x1, x2 := []float64{2, 3}, []float64{1, 1, 1, 20}
	solo, both := oneWayThroughput(x2, x1, []float64{1}, 0.1, 1), twoWayThroughput(x1, x2, []float64{1}, 0.1, 1e9, 1)
	if math.Abs(solo-both) > 1e-9 {
		t.Fatalf("equation (27) %v, equation (23) %v", solo, both)
	}
}

func TestThresholdsAreInfiniteIfCopiesDoNotHelp(t *testing.T) {
	x := []float64{1, 1.1, 1.2}
	if forward, reverse := CopyThresholds(x, x, []float64{1}, 0.1); !math.IsInf(forward, 1) || !math.IsInf(reverse, 1) {
		t.Fatalf("thresholds %v, %v", forward, reverse)
	}
	// Job sizes vary by a factor of 20, but all copies of a job have the same size.
	if forward, _ := CopyThresholds(x, x, []float64{0.1, 1, 2}, 0.1); !math.IsInf(forward, 1) {
		t.Fatalf("threshold %v although the copies have the same size", forward)
	}
}
