package telemetry

import (
	"context"
	"log/slog"

	"go.opentelemetry.io/contrib/bridges/otelslog"
	"go.opentelemetry.io/otel/trace"
)

// LogHandler returns a handler that passes log records to next and exports them to the collector. A record
// whose attribute "id" is the ID of an open request is exported with the trace and span of that request.
func (t *Telemetry) LogHandler(next slog.Handler) slog.Handler {
	if t == nil || t.loggerProvider == nil {
		return next
	}
	return slog.NewMultiHandler(next, &traceContextHandler{telemetry: t, Handler: otelslog.NewHandler(instrumentationScope, otelslog.WithLoggerProvider(t.loggerProvider))})
}

// traceContextHandler adds the span of the request that a log record names to the context.
type traceContextHandler struct {
	slog.Handler
	telemetry *Telemetry
}

func (h *traceContextHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "id" {
			return true
		}
		if spanContext, ok := h.telemetry.openSpans.Load(a.Value.String()); ok {
			ctx = trace.ContextWithSpanContext(ctx, spanContext.(trace.SpanContext))
		}
		return false
	})
	return h.Handler.Handle(ctx, r)
}

func (h *traceContextHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return &traceContextHandler{h.Handler.WithAttrs(a), h.telemetry}
}
func (h *traceContextHandler) WithGroup(g string) slog.Handler {
	return &traceContextHandler{h.Handler.WithGroup(g), h.telemetry}
}
