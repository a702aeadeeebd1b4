// Package telemetry records OpenTelemetry metrics and serves them in the Prometheus format. Each process of the system has
// its own registry, so that tests can run several processes in one program.
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

// latencyBounds are the upper bounds of the latency buckets in seconds, from the latency of a fast endpoint to the longest
// deadline.
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

// attributes returns the label values as attributes named by the metric's labels.
func (d *Desc) attributes(values []string) metric.MeasurementOption {
	kv := make([]attribute.KeyValue, len(d.Labels))
	for i, l := range d.Labels {
		kv[i] = attribute.String(l, values[i])
	}
	return metric.WithAttributeSet(attribute.NewSet(kv...))
}

// Counter is a metric that only increases.
type Counter struct {
	desc *Desc
	c    metric.Float64Counter
}

// Counter returns the counter with the given description.
func (r *Registry) Counter(d *Desc) (Counter, error) {
	c, err := r.meter.Float64Counter(d.Name, metric.WithDescription(d.Help))
	if err != nil {
		return Counter{}, fmt.Errorf("set up metric %s: %w", d.Name, err)
	}
	return Counter{d, c}, nil
}

// Add adds n to the counter. The label values are in the order of the description's labels.
func (c Counter) Add(n float64, values ...string) {
	c.c.Add(context.Background(), n, c.desc.attributes(values))
}

// Histogram is a metric with the distribution of durations.
type Histogram struct {
	desc *Desc
	h    metric.Float64Histogram
}

// Histogram returns the histogram with the given description.
func (r *Registry) Histogram(d *Desc) (Histogram, error) {
	h, err := r.meter.Float64Histogram(d.Name, metric.WithDescription(d.Help), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return Histogram{}, fmt.Errorf("set up metric %s: %w", d.Name, err)
	}
	return Histogram{d, h}, nil
}

// Record records a duration. The label values are in the order of the description's labels.
func (h Histogram) Record(duration time.Duration, values ...string) {
	h.h.Record(context.Background(), duration.Seconds(), h.desc.attributes(values))
}

// Set sets a gauge during one scrape. The label values are in the order of the description's labels.
type Set func(d *Desc, value float64, labels ...string)

// Gauges registers gauges whose values observe sets at every scrape.
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
