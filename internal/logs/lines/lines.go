// Package lines defines the log lines that explain what happened to a request.
// All fields have short names of one word; docs/OPERATIONS.md lists them.
package lines

import (
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Messages of the lines about one request, in the order of its path.
const (
	// Grant is the decision of a ledger's owner, at the daemon that asked.
	Grant = "grant"
	// Refusal is the same where the owner refused.
	Refusal = "refusal"
	// Attempt is one sending to a backend server that did not give an answer.
	Attempt = "attempt"
	// End is the final outcome. It is written for each request that failed.
	End = "end"
)

// Limits of lines a second. Failed requests are never left out.
const (
	okPerSecond   = 30
	okBurst       = 60
	infoPerSecond = 50
	infoBurst     = 200
)

// Log writes lines.
type Log struct {
	hclog.Logger
	ok   *rate.Limiter
	left func()
}

// Option changes a setting of a log.
type Option func(*Log)

// WithSuppressed sets a function that is called for each line that is left out.
func WithSuppressed(f func()) Option { return func(l *Log) { l.left = f } }

// New returns a log of JSON lines. Lines below the level of a warning are
// limited in rate.
func New(out io.Writer, name string, opts ...Option) *Log {
	l := &Log{ok: rate.NewLimiter(okPerSecond, okBurst), left: func() {}}
	for _, o := range opts {
		o(l)
	}
	info := rate.NewLimiter(infoPerSecond, infoBurst)
	l.Logger = hclog.New(&hclog.LoggerOptions{
		Level: hclog.Info, Output: out, JSONFormat: true,
		Exclude: func(level hclog.Level, message string, _ ...any) bool {
			if level >= hclog.Warn || message == End || info.Allow() {
				return false
			}
			l.left()
			return true
		},
	}).With("instance", name)
	return l
}

// Outcome is how a request ended.
type Outcome struct {
	Request string
	Route   string
	Service string
	// Version is the configuration's, Age the time since it was last known to be
	// the newest.
	Version uint64
	Age     time.Duration
	// Status is what the client got, 0 when its connection was closed.
	Status int
	// Result is "ok", "failed", "refused", "unknown", "gone" or "broken".
	Result string
	Reason string
	// Server is the backend server whose answer was passed on.
	Server string
	// Attempts counts sendings to backend servers.
	Attempts int
	Took     time.Duration
	// TimeToFirst is the time to the first event of a stream.
	TimeToFirst time.Duration
	// Events counts the events of a stream, Prompt the tokens of its prompt.
	Events, PromptTokens int
	// RetryAfter is when a refused client may come back.
	RetryAfter time.Duration
	// TimeLeft is the time until the client's deadline.
	TimeLeft time.Duration
}

// End writes the final line of a request.
func (l *Log) End(o Outcome) {
	if o.Result == "ok" && !l.ok.Allow() {
		l.left()
		return
	}
	fields := []any{"request", o.Request, "route", o.Route, "service", o.Service, "version", o.Version, "age", Ms(o.Age),
		"status", o.Status, "result", o.Result, "server", o.Server, "sends", o.Attempts,
		"took", Ms(o.Took), "left", Ms(o.TimeLeft)}
	if o.Reason != "" {
		fields = append(fields, "reason", o.Reason)
	}
	if o.PromptTokens > 0 {
		fields = append(fields, "first", Ms(o.TimeToFirst), "events", o.Events, "prompt", o.PromptTokens)
	}
	if o.RetryAfter > 0 {
		fields = append(fields, "after", Ms(o.RetryAfter))
	}
	l.Info(End, fields...)
}

// Ms gives a time in the unit of log fields, milliseconds with one decimal.
func Ms(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
