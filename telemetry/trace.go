package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// TraceID returns the trace id of a W3C traceparent header, or the request id if the header is missing or malformed.
func TraceID(traceparent, requestID string) string {
	if traceparent == "" {
		return requestID
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{"traceparent": traceparent})
	if sc := trace.SpanContextFromContext(ctx); sc.HasTraceID() {
		return sc.TraceID().String()
	}
	return requestID
}
