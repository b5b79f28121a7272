package start

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Rate limit of log lines, since a fault that affects every request must not log a
// line for each.
const (
	linesPerSecond = 50
	lineBurst      = 200
)

// Logger returns a rate-limited logger that writes JSON lines to out. Lines below
// level error are dropped above the limit; errors never are.
func Logger(out io.Writer, name string) hclog.Logger {
	limit := rate.NewLimiter(linesPerSecond, lineBurst)
	return hclog.New(&hclog.LoggerOptions{
		Name:       "citronrockd",
		Level:      hclog.Info,
		Output:     out,
		JSONFormat: true,
		Exclude: func(level hclog.Level, _ string, _ ...any) bool {
			return level < hclog.Error && !limit.Allow()
		},
	}).With("instance", name)
}
