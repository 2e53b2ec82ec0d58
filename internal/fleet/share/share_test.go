package share

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

func TestDivide(t *testing.T) {
	for _, c := range []struct {
		name   string
		total  int64
		claims []Claim
		want   []int64
	}{
		{"by demand, then the rest by weight", 100, []Claim{{Weight: 1, Demand: 10}, {Weight: 1, Demand: 50}}, []int64{30, 70}},
		{"max-min", 90, []Claim{{Weight: 1, Demand: 10}, {Weight: 1, Demand: 80}, {Weight: 1, Demand: 80}}, []int64{10, 40, 40}},
		{"by weight", 90, []Claim{{Weight: 2, Demand: 90}, {Weight: 1, Demand: 90}}, []int64{60, 30}},
		{"a floor without demand", 100, []Claim{{Weight: 1, Floor: 40}, {Weight: 1, Demand: 100}}, []int64{40, 60}},
		{"a ceiling", 100, []Claim{{Weight: 1, Demand: 100, Ceiling: 20}, {Weight: 1, Demand: 10}}, []int64{20, 80}},
		{"floors above the total", 60, []Claim{{Weight: 1, Floor: 40}, {Weight: 1, Floor: 80}}, []int64{20, 40}},
		{"nothing to divide", 0, []Claim{{Weight: 1, Demand: 5, Floor: 1}}, []int64{0}},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Divide(c.total, c.claims)) })
	}
}

// For any claims: the sum is at most the total, no amount is above its ceiling, no floor is reduced while the
// floors fit, nothing is left over while a claim is below its ceiling, and no claim is short of its demand
// while another has more than its floor and more per weight.
func TestDivideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, MaxAmount).Draw(t, "total")
		size := max(1, total)
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
			return Claim{Weight: rapid.Int64Range(1, MaxWeight).Draw(t, "weight"), Demand: rapid.Int64Range(0, 2*size).Draw(t, "demand"),
				Floor: rapid.Int64Range(0, size/4).Draw(t, "floor"), Ceiling: rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(1, size)).Draw(t, "ceiling")}
		}), 1, 40).Draw(t, "claims")
		got := Divide(total, claims)
		sum, floors, belowCeiling := int64(0), int64(0), false
		for i, c := range claims {
			sum, floors = sum+got[i], floors+c.floor()
			require.LessOrEqual(t, got[i], c.ceiling())
			belowCeiling = belowCeiling || got[i] < c.ceiling()
		}
		require.LessOrEqual(t, sum, total)
		slack := int64(2 * len(claims)) // amounts are rounded down twice
		for _, c := range claims {
			slack += c.weight() >> 20
		}
		if floors <= total {
			for i, c := range claims {
				require.GreaterOrEqual(t, got[i], c.floor())
			}
			if belowCeiling {
				require.GreaterOrEqual(t, sum, total-slack, "something is left over")
			}
			for i, c := range claims {
				short := got[i] < min(c.Demand, c.ceiling())
				for k, o := range claims {
					if short && got[k] > o.floor() {
						require.LessOrEqual(t, float64(got[k]-1)/float64(o.weight()), float64(got[i]+2)/float64(c.weight())+1e-3,
							"%d is short and %d has more for its weight", i, k)
					}
				}
			}
		}
		require.Equal(t, got, Divide(total, claims))
	})
}
