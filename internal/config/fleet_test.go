package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
)

func TestParseFleet(t *testing.T) {
	s := &balance.Settings{Classes: []balance.Class{{Deadline: 5 * time.Second}, {Deadline: 25 * time.Second}}}
	names := &Names{Tenant: map[string]int{"argane-epargne": 3}}
	data, err := os.ReadFile("../../deploy/fleet.toml")
	require.NoError(t, err)
	text := string(data)
	fleet, err := ParseFleet(text, "n0", s, names)
	require.NoError(t, err)
	require.Equal(t, 25*time.Second, fleet.Timing.GracePeriod)
	require.Equal(t, map[int]TenantBudget{3: {Budget: "argane"}}, fleet.Tenants)
	require.EqualValues(t, 21000, fleet.Budgets[0].Total)
	require.EqualValues(t, 3000, fleet.Budgets[0].Rules["n0"].Floor)
	require.Empty(t, fleet.VoterDir)
	require.Nil(t, fleet.Repeats)
	withRepeats, err := ParseFleet(text+"[budget.again]\ncounts = \"repeats\"\nwhole = 5\nburst = 16\nshare = 0.25\n", "n0", s, names)
	require.NoError(t, err)
	require.Equal(t, &RepeatBudget{Budget: "again", ShareMilli: 250, MaxSavedMilli: 10_000}, withRepeats.Repeats)

	withConnections := text + "[budget.each]\ncounts = \"connections\"\nwhole = 12\n"
	withRepeats, err = ParseFleet(withConnections, "n0", s, names)
	require.NoError(t, err)
	require.Equal(t, "each", withRepeats.ConnectionBudget)
	for old, replacement := range map[string]string{"whole = 12": "whole = 1.5", "whole = 12\n": "whole = 12\nburst = 20\n"} {
		_, err = ParseFleet(strings.Replace(withConnections, old, replacement, 1), "n0", s, names)
		require.ErrorContains(t, err, "budget.each")
	}
	s.ConnIdleTimeout = time.Minute
	_, err = ParseFleet(withConnections, "n0", s, names)
	require.ErrorContains(t, err, "linger: 25s is under the time after which workers close idle connections, 1m0s")
	s.ConnIdleTimeout = 0

	for _, c := range []struct{ old, text, wantErr string }{
		{`fleet = "agadir-prix"`, ``, "fleet: missing"},
		{`lease = "2s"`, `lease = "2"`, "lease:"},
		{`lease = "2s"`, `lease = "50ms"`, "lease: 50ms is under"},
		{`lease = "2s"`, "linger = \"5s\"", "linger: 5s is under the longest deadline, 25s"},
		{`lease = "2s"`, "drift = 0.5", "drift: 0.5"},
		{`members = 16`, `members = 40`, "budget.argane.burst: 32 is under the number of members, 40"},
		{`members = 16`, `membres = 16`, "membres: unknown key"},
		{`tenant = "argane-epargne"`, `tenant = "nobody"`, `budget.argane.tenant: no tenant "nobody"`},
		{`whole = 21.0`, `whole = -1.0`, "budget.argane.whole"},
		{`raft = "127.0.0.1:7101"`, ``, "voters.n1: raft and ledger"},
		{`version = 1`, `version = 0`, "version: 0"},
		{`weight = 2`, `weight = 5000`, "budget.argane.part.n0.weight"},
		{`tenant = "argane-epargne"`, "tenant = \"argane-epargne\"\nshare = 0.5", "budget.argane: share and saved"},
		{`tenant = "argane-epargne"`, "counts = \"repeats\"\ntenant = \"argane-epargne\"", "budget.argane.tenant: a budget of repeats"},
		{`tenant = "argane-epargne"`, "counts = \"repeats\"\nshare = 1.5", "budget.argane.share: 1.5"},
		{`tenant = "argane-epargne"`, "counts = \"tries\"\ntenant = \"argane-epargne\"", "is none of jobs, work, repeats, connections"},
		{`version = 1`, "version = 1\nvoter.begin = true", "voter.begin: without voter.dir"},
		{`version = 1`, "version = 1\nvoter.end = true", "voter.end: unknown key"},
	} {
		require.Contains(t, text, c.old)
		_, err := ParseFleet(strings.Replace(text, c.old, c.text, 1), "n0", s, names)
		require.ErrorContains(t, err, c.wantErr)
	}
	_, err = ParseFleet(strings.Replace(text, "version = 1", "version = 1\nvoter.dir = \"x\"", 1), "n9", s, names)
	require.ErrorContains(t, err, "voter.dir: n9 is not among the voters")
}
