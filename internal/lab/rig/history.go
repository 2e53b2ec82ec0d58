package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Event is one fact: what the rig did to a process or link, what a client or a node saw, or what a voter
// said is granted. At counts from the rig's start, by one clock for all.
type Event struct {
	At     time.Duration `json:"at"`
	What   string        `json:"what"`          // sent, answered, arrived, granted, or the name of a fault
	Who    string        `json:"who,omitempty"` // the dispatcher, node or link
	ID     string        `json:"id,omitempty"`  // of a request
	Status int           `json:"status,omitempty"`
	Amount int64         `json:"amount,omitempty"` // granted: the sum over all holders, thousandths
	Whole  int64         `json:"whole,omitempty"`
	Note   string        `json:"note,omitempty"`
}

// History is what happened, in the order in which it was written down.
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

// Now is the time since the history's beginning.
func (h *History) Now() time.Duration { return time.Since(h.began) }

// Events is a copy of the history so far.
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

// Limit is a budget as the nodes have to find it kept.
type Limit struct {
	Rate  float64 // a second
	Burst float64
	From  time.Duration // in force from here on: windows before are not judged
}

// Over finds a window in which more was admitted than the limit allows. A request that reached a node
// was admitted after its client sent it and before it arrived, so those sent at or after a and arrived
// at or before b were admitted between the two, however slow the machine was: a window is judged by
// these alone, and no other is needed for a verdict that is never wrong. It returns the number of
// requests that reached nodes too.
func Over(events []Event, l Limit) (arrived int, err error) {
	sent := map[string]time.Duration{}
	type admission struct{ from, to time.Duration }
	var all []admission
	first := map[string]bool{}
	for _, e := range events {
		switch e.What {
		case "sent":
			sent[e.ID] = e.At
		case "arrived": // the first attempt only: repeats are other budgets' matter
			if from, ok := sent[e.ID]; ok && !first[e.ID] {
				first[e.ID] = true
				arrived++
				if from >= l.From {
					all = append(all, admission{from, e.At})
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b admission) int { return int(a.to - b.to) })
	for _, start := range all {
		n := 0.0
		for _, x := range all {
			if x.from < start.from {
				continue
			}
			n++
			if allowed := l.Rate*(x.to-start.from).Seconds() + l.Burst; n > allowed+1e-6 {
				return arrived, fmt.Errorf("%g requests admitted from %v to %v, %.2f allowed", n, start.from, x.to, allowed)
			}
		}
	}
	return arrived, nil
}

// RepeatLimit is a budget of repeats as the nodes have to find it kept.
type RepeatLimit struct {
	Rate, Burst float64 // a second, over the fleet
	Share       float64 // of a first try, beside these
	Saved       float64 // the most of these at one process
}

// Repeats finds a window in which more attempts beyond the first of their requests reached nodes than the
// limit allows to so many processes. A repeat was admitted after the attempt before it arrived, and a
// first try earned its share between its client's sending and its arrival.
func Repeats(events []Event, l RepeatLimit, processes int) (repeats int, err error) {
	sent, last := map[string]time.Duration{}, map[string]time.Duration{}
	type admission struct{ from, to time.Duration }
	var all []admission
	var began, ended []time.Duration // of first tries
	for _, e := range events {
		switch e.What {
		case "sent":
			sent[e.ID] = e.At
		case "arrived":
			if before, again := last[e.ID]; again {
				all = append(all, admission{before, e.At})
			} else {
				began, ended = append(began, sent[e.ID]), append(ended, e.At)
			}
			last[e.ID] = e.At
		}
	}
	slices.Sort(began)
	slices.SortFunc(all, func(a, b admission) int { return int(a.to - b.to) })
	for _, start := range all {
		before, _ := slices.BinarySearch(ended, start.from) // earned before the window, surely
		n := 0.0
		for _, x := range all {
			if x.from < start.from {
				continue
			}
			n++
			until, _ := slices.BinarySearch(began, x.to+1)
			allowed := l.Rate*(x.to-start.from).Seconds() + l.Burst + l.Share*float64(until-before) + l.Saved*float64(processes)
			if n > allowed+1e-6 {
				return len(all), fmt.Errorf("%g repeats from %v to %v, %.2f allowed", n, start.from, x.to, allowed)
			}
		}
	}
	return len(all), nil
}

// Connections finds an instant at which a node had more connections than it bears, and returns the most it
// surely had. A connection is surely open from when the node has taken it until the last answer after which
// another request came on it: its end may be seen late.
func Connections(events []Event, whole int) (most int, err error) {
	type span struct{ from, idle, to time.Duration }
	spans := map[string]*span{}
	nodes := map[string][]*span{}
	for _, e := range events {
		s := spans[e.ID]
		switch e.What {
		case "connection new":
			s = &span{from: e.At, idle: -1, to: -1}
			spans[e.ID] = s
			nodes[e.Who] = append(nodes[e.Who], s)
		case "connection idle":
			s.idle = e.At
		case "connection active":
			s.to = s.idle
		}
	}
	for node, all := range nodes {
		for _, at := range all {
			n := 0
			for _, s := range all {
				if s.from <= at.from && s.to >= at.from {
					n++
				}
			}
			if most = max(most, n); n > whole {
				return most, fmt.Errorf("%v: %d connections at %s, which bears %d", at.from, n, node, whole)
			}
		}
	}
	return most, nil
}

// Answers finds a request that was answered twice, or as served without a node's result.
func Answers(events []Event) error {
	answered, ran := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		switch e.What {
		case "arrived":
			ran[e.ID] = true
		case "answered":
			if answered[e.ID] {
				return fmt.Errorf("%s answered twice", e.ID)
			}
			answered[e.ID] = true
			if e.Status == 200 && (!ran[e.ID] || e.Note != result(e.ID)) {
				return fmt.Errorf("%s served with %q", e.ID, e.Note)
			}
		}
	}
	return nil
}

// Crashes finds a process that ended otherwise than by the rig's word.
func Crashes(events []Event) error {
	for _, e := range events {
		if e.What == "exit" && e.Note != "<nil>" && e.Note != "signal: killed" {
			return fmt.Errorf("%v: %s ended: %s", e.At, e.Who, e.Note)
		}
	}
	return nil
}

// Granted finds a look at a voter that saw more granted than there is, or ever was: a whole that was made
// smaller is over until its holders have said that they hold less.
func Granted(events []Event) error {
	most := int64(0)
	for _, e := range events {
		if e.What == "granted" {
			if most = max(most, e.Whole); e.Amount > most {
				return fmt.Errorf("%v: %d granted of %d, by %s", e.At, e.Amount, most, e.Who)
			}
		}
	}
	return nil
}

func result(id string) string { return "r-" + id }
