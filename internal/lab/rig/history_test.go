package rig

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// admitted is the history of requests that are sent and arrive after so many milliseconds each.
func admitted(pairs ...[2]int) (events []Event) {
	for i, p := range pairs {
		id := fmt.Sprint(i)
		events = append(events, Event{At: time.Duration(p[0]) * time.Millisecond, What: "sent", ID: id},
			Event{At: time.Duration(p[1]) * time.Millisecond, What: "arrived", ID: id})
	}
	return events
}

func TestOver(t *testing.T) {
	l := Limit{Rate: 10, Burst: 2}
	_, err := Over(admitted([2]int{0, 1}, [2]int{0, 2}, [2]int{0, 3}), l)
	require.ErrorContains(t, err, "3 requests admitted", "three at once where two may be")
	n, err := Over(admitted([2]int{0, 1}, [2]int{0, 2}, [2]int{0, 103}), l)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	// Three arrive at one instant on a machine that stood still, but may have been admitted far apart.
	_, err = Over(admitted([2]int{0, 900}, [2]int{300, 900}, [2]int{600, 900}), l)
	require.NoError(t, err)
	_, err = Over(append(admitted([2]int{0, 1}, [2]int{0, 2}), admitted([2]int{0, 1}, [2]int{0, 2})...), l)
	require.NoError(t, err, "a request that reaches a second node is one request")
	l.From = time.Millisecond
	_, err = Over(admitted([2]int{0, 1}, [2]int{0, 2}, [2]int{0, 3}), l)
	require.NoError(t, err, "before the limit is in force")
}

func TestRepeats(t *testing.T) {
	first := []Event{{At: 0, What: "sent", ID: "a"}, {At: time.Millisecond, What: "arrived", ID: "a"}}
	again := func(ms int) Event { return Event{At: time.Duration(ms) * time.Millisecond, What: "arrived", ID: "a"} }
	l := RepeatLimit{Rate: 10, Burst: 1}
	n, err := Repeats(append(first, again(2)), l, 1)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	_, err = Repeats(append(first, again(2), again(3)), l, 1)
	require.ErrorContains(t, err, "2 repeats")
	_, err = Repeats(append(first, again(2), again(103)), l, 1)
	require.NoError(t, err)
	l.Saved = 1
	_, err = Repeats(append(first, again(2), again(3)), l, 1)
	require.NoError(t, err, "one saved up")
	l.Saved, l.Share = 0, 1
	_, err = Repeats(append(first, again(2), again(3)), l, 1)
	require.NoError(t, err, "one earned by the first try")
}

func TestConnections(t *testing.T) {
	var events []Event
	at := func(ms int, what, id string) {
		events = append(events, Event{At: time.Duration(ms) * time.Millisecond, What: "connection " + what, Who: "n", ID: id})
	}
	at(1, "new", "a")
	at(1, "active", "a")
	at(3, "idle", "a")
	at(4, "new", "b")
	at(4, "active", "b")
	at(5, "idle", "b")
	most, err := Connections(events, 1)
	require.NoError(t, err, "the first may have ended by then")
	require.Zero(t, most, "neither was surely open for longer than an instant")
	at(6, "active", "a")
	at(7, "idle", "a")
	at(8, "active", "a")
	at(9, "active", "b")
	most, err = Connections(events, 2)
	require.NoError(t, err)
	require.Equal(t, 2, most)
	_, err = Connections(events, 1)
	require.ErrorContains(t, err, "2 connections at n")
}

func TestOtherCheckers(t *testing.T) {
	require.Error(t, Answers([]Event{{What: "answered", ID: "a", Status: 200, Note: "r-a"}}), "served though no node ran it")
	require.Error(t, Answers([]Event{{What: "answered", ID: "a", Status: 503}, {What: "answered", ID: "a", Status: 503}}))
	require.Error(t, Answers([]Event{{What: "arrived", ID: "a"}, {What: "answered", ID: "a", Status: 200, Note: "r-b"}}))
	require.NoError(t, Answers([]Event{{What: "arrived", ID: "a"}, {What: "answered", ID: "a", Status: 200, Note: "r-a"}}))
	require.Error(t, Granted([]Event{{What: "granted", Amount: 11, Whole: 10}}))
	require.NoError(t, Granted([]Event{{What: "granted", Amount: 10, Whole: 10}}))
	require.Error(t, Crashes([]Event{{What: "exit", Note: "exit status 2"}}))
	require.NoError(t, Crashes([]Event{{What: "exit", Note: "<nil>"}, {What: "exit", Note: "signal: killed"}}))
}
