package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/lab/load"
)

// The classes of --mix take their deadlines from the settings. An unknown class or an invalid share
// is an error.
func TestLoadMix(t *testing.T) {
	env := map[string]string{"LB_CONFIG": "../../example/config.json"}
	cmd := &loadCmd{Mix: "price-read=3,nav-run=1"}
	classes, owner, err := cmd.classes(func(k string) string { return env[k] })
	require.NoError(t, err)
	require.Equal(t, "argane-epargne", owner)
	require.Equal(t, "127.0.0.1:5000", cmd.Target, "the default is the address in the file")
	require.Len(t, classes, 2)
	require.Equal(t, 25*time.Second, classes[1].Deadline)
	require.True(t, classes[1].Keyed)
	require.False(t, classes[0].Keyed)
	for _, bad := range []string{"price-read", "price-read=x", "brew=1", "price-read=-1"} {
		cmd := &loadCmd{Mix: bad}
		_, _, err := cmd.classes(func(k string) string { return env[k] })
		require.Error(t, err, bad)
	}
	_, _, err = (&loadCmd{}).classes(func(string) string { return "" })
	require.Error(t, err, "neither --mix nor settings")
	all, _, err := (&loadCmd{}).classes(func(k string) string { return env[k] })
	require.NoError(t, err)
	require.Len(t, all, 3, "all classes of the settings")
}

// The load command prints its results and exits with code 1 if the rate was not sustained.
func TestLoadCommand(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = w.Write([]byte("r"))
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	code, out, _ := runCLI(nil, "load", "--target", listener.Addr().String(), "--mix", "price-read=1", "--rate", "20", "--for", "1s", "--json")
	require.Equal(t, ExitOK, code, out)
	var report struct {
		Held    bool
		Sent    int
		Classes []struct{ Served int }
	}
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.True(t, report.Held)
	require.Equal(t, 20, report.Sent)
	require.Equal(t, 20, report.Classes[0].Served)
	code, out, _ = runCLI(nil, "load", "--target", listener.Addr().String(), "--mix", "price-read=1", "--rate", "100", "--for", "1s",
		"--connections", "2")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out, "the rate was not held")
}

// The report that load --json prints is read by other programs: its keys and their order must not change.
func TestLoadReportFormat(t *testing.T) {
	all := hdrhistogram.New(1, 1_000_000, 3)
	latency := hdrhistogram.New(1, 1_000_000, 3)
	for i := int64(1); i <= 1000; i++ {
		require.NoError(t, all.RecordValue(i))
		require.NoError(t, latency.RecordValue(i+100))
	}
	var out bytes.Buffer
	printJSON(&out, &load.Result{Due: 9, Sent: 8, TargetRate: 2.5, SentRate: 1.5, RateHeld: true, MaxLag: 7 * time.Millisecond, All: all,
		Classes: []load.ClassResult{{Name: "price-read", Served: 1, Refused: 2, Failed: 3, Unanswered: 4,
			Statuses: map[int]int{200: 1, 503: 2}, Latency: latency}}})
	require.Equal(t, `{"Asked":9,"Sent":8,"Wanted":2.5,"Got":1.5,"Held":true,"MostLagUS":7000,`+
		`"Classes":[{"Name":"price-read","Served":1,"Refused":2,"Failed":3,"Broken":4,"Statuses":{"200":1,"503":2},`+
		`"P50":600,"P90":1000,"P99":1090,"P999":1099,"Max":1100}],"P50":500,"P99":990,"MaxUS":1000}`+"\n", out.String())
}
