package rig

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// admissionEvents returns the events of requests from pairs of the times of sending and arrival in milliseconds.
func admissionEvents(pairs ...[2]int) (events []Event) {
	for i, p := range pairs {
		id := fmt.Sprint(i)
		events = append(events, Event{At: time.Duration(p[0]) * time.Millisecond, Kind: "sent", ID: id},
			Event{At: time.Duration(p[1]) * time.Millisecond, Kind: "arrived", ID: id})
	}
	return events
}

func TestCheckRate(t *testing.T) {
	l := RateLimit{Rate: 10, Burst: 2}
	_, err := CheckRate(admissionEvents([2]int{0, 1}, [2]int{0, 2}, [2]int{0, 3}), l)
	require.ErrorContains(t, err, "3 requests admitted", "three at once with a burst of two")
	n, err := CheckRate(admissionEvents([2]int{0, 1}, [2]int{0, 2}, [2]int{0, 103}), l)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	// Three requests arrive at the same time, after the machine had stalled, but may have been admitted far apart.
	_, err = CheckRate(admissionEvents([2]int{0, 900}, [2]int{300, 900}, [2]int{600, 900}), l)
	require.NoError(t, err)
	_, err = CheckRate(append(admissionEvents([2]int{0, 1}, [2]int{0, 2}), admissionEvents([2]int{0, 1}, [2]int{0, 2})...), l)
	require.NoError(t, err, "a request that reaches a second node counts once")
	l.Since = time.Millisecond
	_, err = CheckRate(admissionEvents([2]int{0, 1}, [2]int{0, 2}, [2]int{0, 3}), l)
	require.NoError(t, err, "sent before Since")
}

func TestCheckRepeats(t *testing.T) {
	first := []Event{{At: 0, Kind: "sent", ID: "a"}, {At: time.Millisecond, Kind: "arrived", ID: "a"}}
	again := func(ms int) Event { return Event{At: time.Duration(ms) * time.Millisecond, Kind: "arrived", ID: "a"} }
	l := RepeatLimit{Rate: 10, Burst: 1}
	n, err := CheckRepeats(append(first, again(2)), l, 1)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	_, err = CheckRepeats(append(first, again(2), again(3)), l, 1)
	require.ErrorContains(t, err, "2 repeats")
	_, err = CheckRepeats(append(first, again(2), again(103)), l, 1)
	require.NoError(t, err)
	l.MaxSaved = 1
	_, err = CheckRepeats(append(first, again(2), again(3)), l, 1)
	require.NoError(t, err, "one accumulated repeat")
	l.MaxSaved, l.Share = 0, 1
	_, err = CheckRepeats(append(first, again(2), again(3)), l, 1)
	require.NoError(t, err, "one repeat added by the first attempt")
}

func TestCheckConnections(t *testing.T) {
	var events []Event
	at := func(ms int, state, id string) {
		events = append(events, Event{At: time.Duration(ms) * time.Millisecond, Kind: "connection " + state, Name: "n", ID: id})
	}
	at(1, "new", "a")
	at(1, "active", "a")
	at(3, "idle", "a")
	at(4, "new", "b")
	at(4, "active", "b")
	at(5, "idle", "b")
	maxOpen, err := CheckConnections(events, 1)
	require.NoError(t, err, "the first may have been closed by then")
	require.Zero(t, maxOpen, "neither was certainly open for longer than an instant")
	at(6, "active", "a")
	at(7, "idle", "a")
	at(8, "active", "a")
	at(9, "active", "b")
	maxOpen, err = CheckConnections(events, 2)
	require.NoError(t, err)
	require.Equal(t, 2, maxOpen)
	_, err = CheckConnections(events, 1)
	require.ErrorContains(t, err, "2 connections at n")
}

func TestCheckAnswersGrantsExits(t *testing.T) {
	require.Error(t, CheckAnswers([]Event{{Kind: "answered", ID: "a", Status: 200, Note: "r-a"}}), "answered as served without having reached a node")
	require.Error(t, CheckAnswers([]Event{{Kind: "answered", ID: "a", Status: 503}, {Kind: "answered", ID: "a", Status: 503}}))
	require.Error(t, CheckAnswers([]Event{{Kind: "arrived", ID: "a"}, {Kind: "answered", ID: "a", Status: 200, Note: "r-b"}}))
	require.NoError(t, CheckAnswers([]Event{{Kind: "arrived", ID: "a"}, {Kind: "answered", ID: "a", Status: 200, Note: "r-a"}}))
	require.Error(t, CheckGrants([]Event{{Kind: "granted", Amount: 11, Total: 10}}))
	require.NoError(t, CheckGrants([]Event{{Kind: "granted", Amount: 10, Total: 10}}))
	require.Error(t, CheckExits([]Event{{Kind: "exit", Note: "exit status 2"}}))
	require.NoError(t, CheckExits([]Event{{Kind: "exit", Note: "<nil>"}, {Kind: "exit", Note: "signal: killed"}}))
}
