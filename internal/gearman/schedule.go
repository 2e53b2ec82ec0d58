package gearman

import (
	"fmt"
	"strconv"
	"time"

	"github.com/robfig/cron/v3"
)

// maxScheduleAhead is how far in the future a job may be scheduled.
const maxScheduleAhead = 366 * 24 * time.Hour

// parseEpoch parses the time of a SUBMIT_JOB_EPOCH, in seconds of Unix time. A time in the past is
// valid; the job is due at once.
func parseEpoch(value string, now time.Time) (time.Time, error) {
	seconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || seconds < 0 {
		return time.Time{}, fmt.Errorf("epoch %.20q is not a time", value)
	}
	at := time.Unix(seconds, 0)
	if at.Sub(now) > maxScheduleAhead || seconds > 1<<40 {
		return time.Time{}, fmt.Errorf("epoch %.20q lies over a year ahead", value)
	}
	return at, nil
}

// scheduleFields lists the fields of a SUBMIT_JOB_SCHED in their order, with their ranges. Day 0
// of the week is Monday there, and Sunday in cron.
var scheduleFields = [...]struct {
	name     string
	min, max int
}{{"minute", 0, 59}, {"hour", 0, 23}, {"day of the month", 1, 31}, {"month", 1, 12}, {"day of the week", 0, 6}}

// nextScheduled returns the next time that matches the fields of a SUBMIT_JOB_SCHED, in the
// location of now. An empty field or a * matches any value. The job runs once, at that time. As in
// cron, if both the day of the month and the day of the week are given, a day matches by either.
func nextScheduled(fields []string, now time.Time) (time.Time, error) {
	spec := ""
	for i, value := range fields {
		field := scheduleFields[i]
		if value == "" || value == "*" {
			spec += "* "
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < field.min || n > field.max {
			return time.Time{}, fmt.Errorf("%s %.20q is not from %d to %d", field.name, value, field.min, field.max)
		}
		if i == len(scheduleFields)-1 {
			n = (n + 1) % 7
		}
		spec += strconv.Itoa(n) + " "
	}
	schedule, err := cron.ParseStandard(spec[:len(spec)-1])
	if err != nil {
		return time.Time{}, err
	}
	at := schedule.Next(now)
	if at.IsZero() || at.Sub(now) > maxScheduleAhead {
		return time.Time{}, fmt.Errorf("no such time within a year")
	}
	return at, nil
}
