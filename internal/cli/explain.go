package cli

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
)

// repeats words what a class allows after a routed task that may have run.
func repeats(e balance.Effect, g balance.Group, span time.Duration) string {
	switch e {
	case balance.Safe:
		return "safe to repeat"
	case balance.Unsafe:
		return "never repeated once it may have run"
	}
	return fmt.Sprintf("repeated within %v, %s", span, [...]string{"anywhere", "in the same zone", "in the same cell"}[g])
}
