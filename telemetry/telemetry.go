// Package telemetry records OpenTelemetry metrics and serves them in the Prometheus format. Every process has a
// registry of its own, so that several processes can run in one program in tests.
package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// latencyBounds are the upper bounds of latency buckets in seconds, from a fast endpoint to the longest deadline.
var latencyBounds = []float64{.001, .002, .005, .01, .02, .035, .05, .075, .1, .15, .25, .5, 1, 2.5, 5, 10, 30, 60}

// Registry holds the instruments of one process.
type Registry struct {
	prom  *prometheus.Registry
	meter metric.Meter
}

// New returns a registry with the metrics of the Go runtime and the process.
func New() (*Registry, error) {
	prom := prometheus.NewRegistry()
	prom.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(prom), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Registry{prom, provider.Meter("github.com/verbenakeel/verbenakeel")}, nil
}

// Handler serves the metrics in the Prometheus format.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.prom, promhttp.HandlerOpts{})
}

// attributes pairs the values with the metric's labels.
func (d *Desc) attributes(values []string) metric.MeasurementOption {
	kv := make([]attribute.KeyValue, len(d.Labels))
	for i, l := range d.Labels {
		kv[i] = attribute.String(l, values[i])
	}
	return metric.WithAttributeSet(attribute.NewSet(kv...))
}

// Counter counts up.
type Counter struct {
	desc *Desc
	c    metric.Float64Counter
}

// Counter returns the counter of a description.
func (r *Registry) Counter(d *Desc) (Counter, error) {
	c, err := r.meter.Float64Counter(d.Name, metric.WithDescription(d.Help))
	if err != nil {
		return Counter{}, fmt.Errorf("set up metric %s: %w", d.Name, err)
	}
	return Counter{d, c}, nil
}

// Add adds n for the label values, in the order of the description.
func (c Counter) Add(n float64, values ...string) {
	c.c.Add(context.Background(), n, c.desc.attributes(values))
}

// Histogram counts durations by their length.
type Histogram struct {
	desc *Desc
	h    metric.Float64Histogram
}

// Histogram returns the histogram of a description.
func (r *Registry) Histogram(d *Desc) (Histogram, error) {
	h, err := r.meter.Float64Histogram(d.Name, metric.WithDescription(d.Help), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return Histogram{}, fmt.Errorf("set up metric %s: %w", d.Name, err)
	}
	return Histogram{d, h}, nil
}

// Record records a duration for the label values, in the order of the description.
func (h Histogram) Record(took time.Duration, values ...string) {
	h.h.Record(context.Background(), took.Seconds(), h.desc.attributes(values))
}

// Set sets a gauge for the label values during one observation.
type Set func(d *Desc, value float64, labels ...string)

// Gauges observes gauges whenever the metrics are read.
func (r *Registry) Gauges(descs []*Desc, observe func(Set)) error {
	gauges := make(map[*Desc]metric.Float64ObservableGauge, len(descs))
	var all []metric.Observable
	for _, d := range descs {
		g, err := r.meter.Float64ObservableGauge(d.Name, metric.WithDescription(d.Help))
		if err != nil {
			return fmt.Errorf("set up metric %s: %w", d.Name, err)
		}
		gauges[d] = g
		all = append(all, g)
	}
	_, err := r.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		observe(func(d *Desc, value float64, labels ...string) {
			o.ObserveFloat64(gauges[d], value, d.attributes(labels))
		})
		return nil
	}, all...)
	if err != nil {
		return fmt.Errorf("set up metrics: %w", err)
	}
	return nil
}
