// Package meter records the metrics of a daemon with OpenTelemetry and exports them
// to Prometheus.
package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// maxTenantSeries is the number of tenants with series of their own; all others are
// counted as tenant "other". With 11,000 tenants, a series for each tenant, service
// and bucket would not fit into the 32 MB that a daemon may use for control.
const maxTenantSeries = 40

// Meter holds the instruments of a daemon. It is safe for concurrent use.
type Meter struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	first    metric.Float64Histogram
	gap      metric.Float64Histogram
	duration metric.Float64Histogram
	answers  metric.Int64Counter
	tokens   metric.Int64Counter
	waste    metric.Int64Counter
	pauses   metric.Int64Counter
	meter    metric.Meter

	mu      sync.Mutex
	tenants map[string]struct{}
}

// Bucket boundaries in seconds, denser around the targets of 0.45 s to the first
// token and 32 ms between tokens.
var (
	firstBuckets    = []float64{.01, .025, .05, .1, .2, .3, .4, .45, .5, .6, .8, 1, 2, 5, 10, 30}
	gapBuckets      = []float64{.005, .01, .015, .02, .025, .03, .032, .035, .04, .05, .08, .15, .3, 1}
	durationBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .3, .5, 1, 2, 5, 10, 30, 60}
)

// New returns a Meter with its own registry. It returns an error if the exporter or
// an instrument can't be created.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	m := &Meter{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithResource(
			resource.NewSchemaless(attribute.String("service.name", "citronrockd")))),
		registry: registry,
		tenants:  map[string]struct{}{},
	}
	m.meter = m.provider.Meter("citronrock")
	return m, m.createInstruments()
}

func (m *Meter) createInstruments() error {
	var errs [7]error
	histogram := func(name, text string, bounds []float64, err *error) metric.Float64Histogram {
		var h metric.Float64Histogram
		h, *err = m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(text),
			metric.WithExplicitBucketBoundaries(bounds...))
		return h
	}
	counter := func(name, text string, err *error) metric.Int64Counter {
		var c metric.Int64Counter
		c, *err = m.meter.Int64Counter(name, metric.WithDescription(text))
		return c
	}
	m.first = histogram("first", "time from receipt to the first token", firstBuckets, &errs[0])
	m.gap = histogram("gap", "time between tokens", gapBuckets, &errs[1])
	m.duration = histogram("took", "time from receipt to the answer", durationBuckets, &errs[2])
	m.answers = counter("answers", "answers by outcome", &errs[3])
	m.tokens = counter("tokens", "tokens passed to callers", &errs[4])
	m.waste = counter("waste", "prefill tokens whose result was not used", &errs[5])
	m.pauses = counter("pauses", "times that the process was not run", &errs[6])
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Gauge registers a gauge whose value f returns when metrics are scraped. f must be
// safe for concurrent use.
func (m *Meter) Gauge(name, text string, f func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(text),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(f())
			return nil
		}))
	return err
}

// ServiceGauge registers a gauge with a value for each service. f passes the values on when
// metrics are scraped. It must be safe for concurrent use.
func (m *Meter) ServiceGauge(name, text string, f func(observe func(service string, value int64))) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(text),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			f(func(service string, value int64) {
				o.Observe(value, metric.WithAttributes(attribute.String("service", service)))
			})
			return nil
		}))
	return err
}

// TenantGauge registers a gauge with a value for each tenant. f passes the values on when
// metrics are scraped, the most important tenants first: the first maxTenantSeries have
// series of their own, all others are added up as tenant "other". f must be safe for
// concurrent use.
func (m *Meter) TenantGauge(name, text string, f func(observe func(tenant string, value int64))) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(text),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			n, other := 0, int64(0)
			f(func(tenant string, value int64) {
				if n++; n > maxTenantSeries {
					other += value
					return
				}
				o.Observe(value, metric.WithAttributes(attribute.String("tenant", tenant)))
			})
			if n > maxTenantSeries {
				o.Observe(other, metric.WithAttributes(attribute.String("tenant", "other")))
			}
			return nil
		}))
	return err
}

// Handler returns the handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts down the metrics provider.
func (m *Meter) Close() error { return m.provider.Shutdown(context.Background()) }

// attributes returns the attributes of a service and a tenant. Once maxTenantSeries
// tenants have been seen, any other tenant is replaced by "other".
func (m *Meter) attributes(service, tenant string) []attribute.KeyValue {
	m.mu.Lock()
	if _, ok := m.tenants[tenant]; !ok {
		if len(m.tenants) < maxTenantSeries {
			m.tenants[tenant] = struct{}{}
		} else {
			tenant = "other"
		}
	}
	m.mu.Unlock()
	return []attribute.KeyValue{attribute.String("service", service), attribute.String("tenant", tenant)}
}

// FirstToken records the time from the receipt of a request to its first token.
func (m *Meter) FirstToken(service, tenant string, d time.Duration) {
	m.first.Record(context.Background(), d.Seconds(), metric.WithAttributes(m.attributes(service, tenant)...))
}

// TokenGaps records the times between the tokens of one answer, and counts its
// tokens, one more than there are gaps.
func (m *Meter) TokenGaps(service, tenant string, gaps []time.Duration) {
	if len(gaps) == 0 {
		return
	}
	set := metric.WithAttributeSet(attribute.NewSet(m.attributes(service, tenant)...))
	for _, d := range gaps {
		m.gap.Record(context.Background(), d.Seconds(), set)
	}
	m.tokens.Add(context.Background(), int64(len(gaps)+1), set)
}

// Answer records the end of a request and the time since its receipt. Outcome is
// "ok", "gone" if the client disconnected, or a kind of failure with its reason.
func (m *Meter) Answer(service, tenant, outcome, reason string, took time.Duration) {
	set := m.attributes(service, tenant)
	m.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(set...))
	set = append(set, attribute.String("outcome", outcome), attribute.String("reason", reason))
	m.answers.Add(context.Background(), 1, metric.WithAttributes(set...))
}

// WastedTokens counts prefill tokens whose result was not used.
func (m *Meter) WastedTokens(service string, tokens int64) {
	m.waste.Add(context.Background(), tokens, metric.WithAttributes(attribute.String("service", service)))
}

// Pause counts a pause of the process.
func (m *Meter) Pause() { m.pauses.Add(context.Background(), 1) }
