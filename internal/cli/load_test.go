package cli

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The mix names classes of the settings, with their deadlines; a class they lack, or a share
// that is no number, is a fault of the command line's.
func TestLoadMix(t *testing.T) {
	env := map[string]string{"LB_CONFIG": "../../example/config.json"}
	w := &loadWord{Mix: "price-read=3,nav-run=1"}
	classes, owner, err := w.classes(func(k string) string { return env[k] })
	require.NoError(t, err)
	require.Equal(t, "argane-epargne", owner)
	require.Equal(t, "127.0.0.1:5000", w.Target, "the file's address where none is given")
	require.Len(t, classes, 2)
	require.Equal(t, 25*time.Second, classes[1].Deadline)
	require.True(t, classes[1].Keyed)
	require.False(t, classes[0].Keyed)
	for _, bad := range []string{"price-read", "price-read=x", "brew=1", "price-read=-1"} {
		w := &loadWord{Mix: bad}
		_, _, err := w.classes(func(k string) string { return env[k] })
		require.Error(t, err, bad)
	}
	_, _, err = (&loadWord{}).classes(func(string) string { return "" })
	require.Error(t, err, "no mix and no settings")
	all, _, err := (&loadWord{}).classes(func(k string) string { return env[k] })
	require.NoError(t, err)
	require.Len(t, all, 3, "every class of the settings, evenly")
}

// The word makes its load and writes its result; a rate that is not held is exit code 1.
func TestLoadWord(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = w.Write([]byte("r"))
	})}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	code, out, _ := call(nil, "load", "--target", l.Addr().String(), "--mix", "price-read=1", "--rate", "20", "--for", "1s", "--json")
	require.Equal(t, ExitOK, code, out)
	var v struct {
		Held    bool
		Sent    int
		Classes []struct{ Served int }
	}
	require.NoError(t, json.Unmarshal([]byte(out), &v))
	require.True(t, v.Held)
	require.Equal(t, 20, v.Sent)
	require.Equal(t, 20, v.Classes[0].Served)
	code, out, _ = call(nil, "load", "--target", l.Addr().String(), "--mix", "price-read=1", "--rate", "100", "--for", "1s",
		"--connections", "2")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out, "the rate was not held")
}
