package gearman

import (
	"fmt"
	"strconv"
	"time"

	"github.com/robfig/cron/v3"
)

// latest bounds how far ahead a timed job may lie.
const latest = 366 * 24 * time.Hour

// atEpoch reads the instant of a SUBMIT_JOB_EPOCH, seconds of Unix time. One that has passed
// is due at once.
func atEpoch(text string, now time.Time) (time.Time, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return time.Time{}, fmt.Errorf("epoch %.20q is not a time", text)
	}
	at := time.Unix(n, 0)
	if at.Sub(now) > latest || n > 1<<40 {
		return time.Time{}, fmt.Errorf("epoch %.20q lies over a year ahead", text)
	}
	return at, nil
}

// The fields of a SUBMIT_JOB_SCHED, in their order, with their bounds. Its days of the week
// begin with 0 for Monday, cron's with 0 for Sunday.
var scheduleFields = [...]struct {
	name        string
	least, most int
}{{"minute", 0, 59}, {"hour", 0, 23}, {"day of the month", 1, 31}, {"month", 1, 12}, {"day of the week", 0, 6}}

// atSchedule returns the next instant that matches a SUBMIT_JOB_SCHED, in the location of now.
// An empty field or a * matches any. It is one shot: the job runs once. As in cron, a day matches
// by either of its fields where both are given.
func atSchedule(fields []string, now time.Time) (time.Time, error) {
	spec := ""
	for i, text := range fields {
		f := scheduleFields[i]
		if text == "" || text == "*" {
			spec += "* "
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < f.least || n > f.most {
			return time.Time{}, fmt.Errorf("%s %.20q is not from %d to %d", f.name, text, f.least, f.most)
		}
		if i == len(scheduleFields)-1 {
			n = (n + 1) % 7
		}
		spec += strconv.Itoa(n) + " "
	}
	s, err := cron.ParseStandard(spec[:len(spec)-1])
	if err != nil {
		return time.Time{}, err
	}
	at := s.Next(now)
	if at.IsZero() || at.Sub(now) > latest {
		return time.Time{}, fmt.Errorf("no such time within a year")
	}
	return at, nil
}
