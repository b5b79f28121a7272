// Package lines defines the log lines about a request and limits their rate. The
// names of all fields are short, of one word; docs/OPERATIONS.md lists them.
package lines

import (
	"io"
	"math"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Messages of the log lines about a request, in the order in which they are logged.
const (
	// Grant is logged by the edge daemon when the owner has granted a lease.
	Grant = "grant"
	// Refusal is logged by the edge daemon when the owner has refused a lease.
	Refusal = "refusal"
	// Attempt is logged for each failed attempt on a backend server.
	Attempt = "attempt"
	// End is logged with the final outcome: for each failed request, and at a limited
	// rate for successful ones.
	End = "end"
)

// Rate limits in lines per second, with bursts in lines: ok is for End lines of
// successful requests, info for all other lines below the level of a warning. End
// lines of failed requests are never suppressed.
const (
	okPerSecond   = 30
	okBurst       = 60
	infoPerSecond = 50
	infoBurst     = 200
)

// Log is a logger with rate limits. It is safe for concurrent use.
type Log struct {
	hclog.Logger
	okLimiter    *rate.Limiter
	onSuppressed func()
}

// Option sets an option of a Log.
type Option func(*Log)

// WithSuppressed sets a function that is called for each line that a rate limit
// suppresses.
func WithSuppressed(f func()) Option { return func(l *Log) { l.onSuppressed = f } }

// New returns a log that writes JSON lines to out, with name in the field instance.
// Lines below the level of a warning are rate limited, except End lines of failed
// requests.
func New(out io.Writer, name string, opts ...Option) *Log {
	l := &Log{okLimiter: rate.NewLimiter(okPerSecond, okBurst), onSuppressed: func() {}}
	for _, o := range opts {
		o(l)
	}
	infoLimiter := rate.NewLimiter(infoPerSecond, infoBurst)
	l.Logger = hclog.New(&hclog.LoggerOptions{
		Level: hclog.Info, Output: out, JSONFormat: true,
		Exclude: func(level hclog.Level, message string, _ ...any) bool {
			if level >= hclog.Warn || message == End || infoLimiter.Allow() {
				return false
			}
			l.onSuppressed()
			return true
		},
	}).With("instance", name)
	return l
}

// Outcome describes how a request ended; it is what an End line holds.
type Outcome struct {
	Request string
	Route   string
	Service string
	// Tenant is the name of the client's tenant, empty for none.
	Tenant string
	// Version is the version of the configuration, Age the time since it was last
	// known to be the newest.
	Version uint64
	Age     time.Duration
	// Status is the HTTP status sent to the client, 0 if its connection was closed.
	Status int
	// Result is "ok", "failed", "refused", "unknown", "gone" or "broken".
	Result string
	Reason string
	// Cost is what the request counts against the limit of its tenant, if it was refused for
	// that, and Had what the account had left, in units. Owner is the daemon that accounts
	// for the tenant, Told the time since it said so.
	Cost, Had float64
	Owner     string
	Told      time.Duration
	// Part is the part of the prompt that crashed servers, for which the request was
	// refused.
	Part string
	// Server is the backend server whose response was relayed.
	Server string
	// Attempts counts the times that the request was sent to a backend server.
	Attempts int
	Took     time.Duration
	// TimeToFirst is the time from the arrival of the request to the first event of
	// its stream.
	TimeToFirst time.Duration
	// Events counts the events of a stream, PromptTokens the tokens of its prompt.
	Events, PromptTokens int
	// RetryAfter is the Retry-After delay of a refused request.
	RetryAfter time.Duration
	// Software is the version of that server's software.
	Software string
	// Resumes is the client's attempt that brought the first event of the stream which
	// this request takes up.
	Resumes string
	// TimeLeft is the time until the client's deadline, when routing ended.
	TimeLeft time.Duration
	// NotMoved tells why a run that broke off did not go on at another engine: "route",
	// "attempts", "deadline", "version" or "budget".
	NotMoved string
	// Stopping is set if the daemon was stopping when the request ended. GraceLeft is the
	// time until it exits.
	Stopping  bool
	GraceLeft time.Duration
}

// End logs the outcome of a request. Lines of successful requests are rate limited.
func (l *Log) End(o Outcome) {
	if o.Result == "ok" && !l.okLimiter.Allow() {
		l.onSuppressed()
		return
	}
	fields := []any{"request", o.Request, "route", o.Route, "service", o.Service, "version", o.Version, "age", Ms(o.Age),
		"status", o.Status, "result", o.Result, "server", o.Server, "sends", o.Attempts,
		"took", Ms(o.Took), "left", Ms(o.TimeLeft)}
	if o.Reason != "" {
		fields = append(fields, "reason", o.Reason)
	}
	if o.Tenant != "" {
		fields = append(fields, "tenant", o.Tenant)
	}
	if o.Cost > 0 {
		fields = append(fields, "cost", o.Cost, "had", math.Round(o.Had), "owner", o.Owner, "told", Ms(o.Told))
	}
	if o.Part != "" {
		fields = append(fields, "part", o.Part)
	}
	if o.PromptTokens > 0 {
		fields = append(fields, "first", Ms(o.TimeToFirst), "events", o.Events, "prompt", o.PromptTokens)
	}
	if o.RetryAfter > 0 {
		fields = append(fields, "after", Ms(o.RetryAfter))
	}
	if o.Software != "" {
		fields = append(fields, "software", o.Software)
	}
	if o.Resumes != "" {
		fields = append(fields, "resumes", o.Resumes)
	}
	if o.NotMoved != "" {
		fields = append(fields, "unmoved", o.NotMoved)
	}
	if o.Stopping {
		fields = append(fields, "grace", Ms(o.GraceLeft))
	}
	l.Info(End, fields...)
}

// Ms returns a duration in the unit of log fields, milliseconds with one decimal.
func Ms(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
