package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Event is one entry of the history: an action of the rig on a process or link, an observation of a client or a node,
// or the amount that a voter reports as granted.
type Event struct {
	At     time.Duration `json:"at"`            // since the start of the history, by one clock for all events
	Kind   string        `json:"what"`          // sent, answered, arrived, granted, or the name of a fault
	Name   string        `json:"who,omitempty"` // the process or node
	ID     string        `json:"id,omitempty"`  // of the request or connection
	Status int           `json:"status,omitempty"`
	Amount int64         `json:"amount,omitempty"` // granted: the sum over all holders, in thousandths
	Total  int64         `json:"whole,omitempty"`  // granted: the size of the budget, in thousandths
	Note   string        `json:"note,omitempty"`
}

// History is a log of events in the order in which they were recorded.
type History struct {
	began  time.Time
	mu     sync.Mutex
	events []Event
}

func newHistory() *History { return &History{began: time.Now()} }

func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Since(h.began)
	h.events = append(h.events, e)
}

// Elapsed returns the time since the start of the history.
func (h *History) Elapsed() time.Duration { return time.Since(h.began) }

// Events returns a copy of the events recorded so far.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Write writes the history as JSON lines.
func (h *History) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, e := range h.Events() {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// RateLimit is the limit of a rate budget, as CheckRate verifies it.
type RateLimit struct {
	Rate  float64 // requests per second
	Burst float64
	Since time.Duration // requests sent before it are not checked
}

// CheckRate returns an error if more requests were admitted in some window than the limit allows, and the number of
// requests that reached nodes.
//
// A request that reached a node was admitted between its sending and its arrival. Hence all requests that were sent
// after the start of a window and arrived before its end were admitted within it, however slow the machine was.
// CheckRate counts only these, so it never reports an error falsely.
func CheckRate(events []Event, limit RateLimit) (arrived int, err error) {
	sentAt := map[string]time.Duration{}
	type admission struct{ from, to time.Duration }
	var admissions []admission
	counted := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case "sent":
			sentAt[e.ID] = e.At
		case "arrived": // only the first attempt counts: repeats have a budget of their own
			if from, ok := sentAt[e.ID]; ok && !counted[e.ID] {
				counted[e.ID] = true
				arrived++
				if from >= limit.Since {
					admissions = append(admissions, admission{from, e.At})
				}
			}
		}
	}
	slices.SortFunc(admissions, func(a, b admission) int { return int(a.to - b.to) })
	for _, start := range admissions {
		admitted := 0.0
		for _, other := range admissions {
			if other.from < start.from {
				continue
			}
			admitted++
			if allowed := limit.Rate*(other.to-start.from).Seconds() + limit.Burst; admitted > allowed+1e-6 {
				return arrived, fmt.Errorf("%g requests admitted from %v to %v, %.2f allowed", admitted, start.from, other.to, allowed)
			}
		}
	}
	return arrived, nil
}

// RepeatLimit is the limit of a repeat budget, as CheckRepeats verifies it.
type RepeatLimit struct {
	Rate, Burst float64 // repeats per second, and burst, over the fleet
	Share       float64 // repeats that each first attempt adds
	MaxSaved    float64 // upper limit for the repeats that one process accumulates from Share
}

// CheckRepeats returns an error if more repeats (attempts after the first of their request) reached nodes in some window
// than the limit allows to the given number of processes, and the number of repeats. A repeat was admitted after the
// arrival of the previous attempt, and a first attempt added its share between its sending and its arrival.
func CheckRepeats(events []Event, limit RepeatLimit, processes int) (repeats int, err error) {
	sentAt, lastArrival := map[string]time.Duration{}, map[string]time.Duration{}
	type admission struct{ from, to time.Duration }
	var admissions []admission
	var firstSent, firstArrived []time.Duration // of first attempts
	for _, e := range events {
		switch e.Kind {
		case "sent":
			sentAt[e.ID] = e.At
		case "arrived":
			if previous, repeat := lastArrival[e.ID]; repeat {
				admissions = append(admissions, admission{previous, e.At})
			} else {
				firstSent, firstArrived = append(firstSent, sentAt[e.ID]), append(firstArrived, e.At)
			}
			lastArrival[e.ID] = e.At
		}
	}
	slices.Sort(firstSent)
	slices.SortFunc(admissions, func(a, b admission) int { return int(a.to - b.to) })
	for _, start := range admissions {
		sharesBefore, _ := slices.BinarySearch(firstArrived, start.from) // certainly added before the window
		repeated := 0.0
		for _, other := range admissions {
			if other.from < start.from {
				continue
			}
			repeated++
			sharesUntil, _ := slices.BinarySearch(firstSent, other.to+1)
			allowed := limit.Rate*(other.to-start.from).Seconds() + limit.Burst + limit.Share*float64(sharesUntil-sharesBefore) + limit.MaxSaved*float64(processes)
			if repeated > allowed+1e-6 {
				return len(admissions), fmt.Errorf("%g repeats from %v to %v, %.2f allowed", repeated, start.from, other.to, allowed)
			}
		}
	}
	return len(admissions), nil
}

// CheckConnections returns an error if a node had more open connections at some time than the limit, and the largest
// number that was certainly open. A connection is certainly open from its acceptance until the last answer that was
// followed by another request on it. Its end may be recorded late and is not used.
func CheckConnections(events []Event, limit int) (maxOpen int, err error) {
	type span struct{ from, idle, to time.Duration }
	spans := map[string]*span{}
	nodes := map[string][]*span{}
	for _, e := range events {
		s := spans[e.ID]
		switch e.Kind {
		case "connection new":
			s = &span{from: e.At, idle: -1, to: -1}
			spans[e.ID] = s
			nodes[e.Name] = append(nodes[e.Name], s)
		case "connection idle":
			s.idle = e.At
		case "connection active":
			s.to = s.idle
		}
	}
	for node, nodeSpans := range nodes {
		for _, start := range nodeSpans {
			open := 0
			for _, s := range nodeSpans {
				if s.from <= start.from && s.to >= start.from {
					open++
				}
			}
			if maxOpen = max(maxOpen, open); open > limit {
				return maxOpen, fmt.Errorf("%v: %d connections at %s, %d allowed", start.from, open, node, limit)
			}
		}
	}
	return maxOpen, nil
}

// CheckAnswers returns an error if a request was answered twice, or was answered as served without the result of a
// node.
func CheckAnswers(events []Event) error {
	answered, ran := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case "arrived":
			ran[e.ID] = true
		case "answered":
			if answered[e.ID] {
				return fmt.Errorf("%s answered twice", e.ID)
			}
			answered[e.ID] = true
			if e.Status == 200 && (!ran[e.ID] || e.Note != expectedResult(e.ID)) {
				return fmt.Errorf("%s answered as served with %q, which is not the result of a node", e.ID, e.Note)
			}
		}
	}
	return nil
}

// CheckExits returns an error if a process exited with an error that is not due to the rig's SIGKILL.
func CheckExits(events []Event) error {
	for _, e := range events {
		if e.Kind == "exit" && e.Note != "<nil>" && e.Note != "signal: killed" {
			return fmt.Errorf("%v: %s exited: %s", e.At, e.Name, e.Note)
		}
	}
	return nil
}

// CheckGrants returns an error if a voter reported that more was granted than the largest size of the budget so far.
// After a reduction of the budget, more than its new size stays granted until the holders have confirmed their smaller
// shares.
func CheckGrants(events []Event) error {
	largestBudget := int64(0)
	for _, e := range events {
		if e.Kind == "granted" {
			if largestBudget = max(largestBudget, e.Total); e.Amount > largestBudget {
				return fmt.Errorf("%v: %d granted of a budget of %d, as reported by %s", e.At, e.Amount, largestBudget, e.Name)
			}
		}
	}
	return nil
}

func expectedResult(id string) string { return "r-" + id }
