package telemetry

import (
	"context"
	"log/slog"

	"go.opentelemetry.io/contrib/bridges/otelslog"
	"go.opentelemetry.io/otel/trace"
)

// Handler returns a log handler that tells the collector too of what next is told, with the span of
// the request that a line names by its id.
func (t *Telemetry) Handler(next slog.Handler) slog.Handler {
	if t == nil || t.logs == nil {
		return next
	}
	return slog.NewMultiHandler(next, &spanned{t: t, Handler: otelslog.NewHandler(scope, otelslog.WithLoggerProvider(t.logs))})
}

// spanned finds the span of a line's request.
type spanned struct {
	slog.Handler
	t *Telemetry
}

func (h *spanned) Handle(ctx context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "id" {
			return true
		}
		if c, ok := h.t.open.Load(a.Value.String()); ok {
			ctx = trace.ContextWithSpanContext(ctx, c.(trace.SpanContext))
		}
		return false
	})
	return h.Handler.Handle(ctx, r)
}

func (h *spanned) WithAttrs(a []slog.Attr) slog.Handler { return &spanned{h.Handler.WithAttrs(a), h.t} }
func (h *spanned) WithGroup(g string) slog.Handler      { return &spanned{h.Handler.WithGroup(g), h.t} }
