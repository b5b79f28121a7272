package start

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Limits of log lines. A fault that touches each request must not write a line
// for each of them.
const (
	linesPerSecond = 50
	lineBurst      = 200
)

// Logger returns a logger of JSON lines that is limited in rate; errors are
// never dropped.
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
