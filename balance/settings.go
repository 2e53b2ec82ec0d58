package balance

import (
	"errors"
	"fmt"
	"time"
)

// check returns an error that names an invalid setting.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("there are no classes")
	case s.FleetSize < 1 || s.Position < 0 || s.Position >= s.FleetSize:
		return fmt.Errorf("position %d is not in a fleet of %d dispatchers", s.Position, s.FleetSize)
	case s.MaxAttempts < 1:
		return fmt.Errorf("limit of %d attempts is less than 1", s.MaxAttempts)
	case s.WorkerKinds < 0:
		return fmt.Errorf("number of worker kinds %d is negative", s.WorkerKinds)
	case s.ColdCapacity < 0 || s.ColdCapacity > 1:
		return fmt.Errorf("cold capacity %v is not between 0 and 1", s.ColdCapacity)
	case s.OverloadFactor < 0:
		return fmt.Errorf("overload factor %v is negative", s.OverloadFactor)
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"connect timeout", s.ConnectTimeout},
		{"tick", s.Tick},
		{"warm-up", s.WarmUp},
		{"pull interval", s.PullInterval},
		{"overload window", s.OverloadWindow},
		{"progress interval", s.ProgressInterval},
	} {
		if d.value < 0 {
			return fmt.Errorf("%s %v is negative", d.name, d.value)
		}
	}
	for i, c := range s.Classes {
		if c.Idempotency > NonIdempotent || c.DedupScope > ScopeCell || c.WorkerKind >= s.WorkerKinds {
			return fmt.Errorf("class %d has an unknown idempotency %d, dedup scope %d or worker kind %d", i,
				c.Idempotency, c.DedupScope, c.WorkerKind)
		}
		if c.Deadline <= 0 || c.Target < 0 || c.DedupWindow < 0 || c.Stretch < 0 {
			return fmt.Errorf("class %d has an invalid deadline %v, target %v, dedup window %v or stretch %v", i,
				c.Deadline, c.Target, c.DedupWindow, c.Stretch)
		}
	}
	return nil
}

// initialMeanRun returns the mean of the classes' initial run times, in seconds.
func (b *Balancer) initialMeanRun() (mean float64) {
	for i := range b.settings.Classes {
		mean += b.settings.Classes[i].initialRun() / float64(len(b.settings.Classes))
	}
	return mean
}

// initialRun returns the estimated run time of a job of the class, in seconds, before any was observed: a
// twelfth of the client's deadline. All dispatchers compute the same value.
func (c *Class) initialRun() float64 { return c.Deadline.Seconds() / 12 }
