package telemetry

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

func env(pairs map[string]string) func(string) string {
	return func(k string) string { return pairs[k] }
}

// Without an endpoint there is no telemetry, and what it cannot do it says by the key.
func TestOffUnlessConfigured(t *testing.T) {
	for _, e := range []map[string]string{nil, {"OTEL_SERVICE_NAME": "x"},
		{"OTEL_EXPORTER_OTLP_ENDPOINT": "http://127.0.0.1:1", "OTEL_SDK_DISABLED": "true"}} {
		tel, err := New(t.Context(), env(e), "n0", slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		require.Nil(t, tel)
	}
	_, err := New(t.Context(), env(map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": "http://127.0.0.1:1",
		"OTEL_EXPORTER_OTLP_PROTOCOL": "grpc"}), "n0", nil)
	require.ErrorContains(t, err, "OTEL_EXPORTER_OTLP_PROTOCOL")
}

// follow is one transaction with a copy, and its queue afterwards.
func follow(o *Observer) {
	tx := &dispatch.Transaction{ID: "9b1f03aa5c7e2d41", Trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
	a, b := &dispatch.Task{Transaction: tx}, &dispatch.Task{Transaction: tx, No: 1}
	o.Began(tx)
	o.Sent(a)
	o.Sent(b)
	o.Ended(a, balance.StatusOK, 0)
	o.Answered(tx, dispatch.Answer{})
	o.Withdrawn(b)
	o.Ended(b, balance.StatusCancelled, 0)
}

func observer(t testing.TB) *Observer {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	t.Setenv("OTEL_EXPORTER_OTLP_ENDPOINT", "http://"+l.Addr().String())
	tel, err := New(context.Background(), env(map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": "set"}), "n0", slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { _ = tel.Close() })
	o, err := tel.Observe("http", &balance.Settings{Classes: []balance.Class{{Name: "price-read"}}})
	require.NoError(t, err)
	return o
}

// Whatever way a transaction takes, nothing of it is kept, and it leaves the queue.
func TestNothingIsKept(t *testing.T) {
	o := observer(t)
	follow(o)
	tx := &dispatch.Transaction{}
	task := &dispatch.Task{Transaction: tx}
	o.Began(tx)
	require.EqualValues(t, 1, o.queue.Load())
	o.Sent(task)
	require.Zero(t, o.queue.Load())
	o.Ended(task, balance.StatusReset, 0)
	require.EqualValues(t, 1, o.queue.Load())
	o.Left(tx)
	require.Zero(t, o.queue.Load())
	require.Empty(t, o.open)
}

// BenchmarkDeadCollector is the cost of a transaction with a copy while no collector
// answers.
func BenchmarkDeadCollector(b *testing.B) {
	o := observer(b)
	b.ReportAllocs()
	for b.Loop() {
		follow(o)
	}
}
