// Package seeded sets a fixed default seed for rapid, so that property tests give the same result in every CI run. Tests
// import it for its side effect. The flag -rapid.seed=N sets another seed; use a new one for each long search.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // defines the rapid.seed flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
