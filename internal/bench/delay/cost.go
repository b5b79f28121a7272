package delay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// clockTicks is the number of clock ticks per second in /proc (USER_HZ), the same
// on all systems that the harness runs on.
const clockTicks = 100

// comparison holds the 0.5 and 0.99 quantiles of both paths in milliseconds.
type comparison struct {
	Direct [2]float64 `json:"direct"`
	Daemon [2]float64 `json:"daemon"`
}

type latency struct {
	Case     string     `json:"case"`
	Seed     uint64     `json:"seed"`
	Requests int        `json:"requests"`
	First    comparison `json:"first"`
	Gap      comparison `json:"gap"`
}

// cost is the processor time of the daemon in one case. CPU is in seconds; First
// and Gap are the 0.5 and 0.99 quantiles in milliseconds.
type cost struct {
	Case     string     `json:"case"`
	Seed     uint64     `json:"seed"`
	Cores    int        `json:"cores"`
	Seconds  float64    `json:"seconds"`
	Requests int64      `json:"requests"`
	Tokens   int64      `json:"tokens"`
	CPU      float64    `json:"cpu"`
	First    [2]float64 `json:"first"`
	Gap      [2]float64 `json:"gap"`
}

func (m *meter) cost(ctx context.Context, name string, run func(context.Context, *cost) error) error {
	c := cost{Case: name, Seed: m.set.Seed, Cores: runtime.NumCPU()}
	before, err := processorTime(m.pid)
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := run(ctx, &c); err != nil {
		return err
	}
	after, err := processorTime(m.pid)
	if err != nil {
		return err
	}
	c.Seconds, c.CPU = time.Since(begin).Seconds(), (after - before).Seconds()
	m.costs = append(m.costs, c)
	return m.writeJSON(c)
}

// processorTime returns the user and system time of a process.
func processorTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "can't read the processor time of the daemon")
	}
	return parseStat(b)
}

// parseStat reads fields 14 and 15. The second field is the program's name in
// parentheses, which may hold blanks.
func parseStat(b []byte) (time.Duration, error) {
	_, rest, ok := bytes.Cut(b[max(0, bytes.LastIndexByte(b, ')')):], []byte(") "))
	fields := bytes.Fields(rest)
	const user, system = 14 - 3, 15 - 3
	if !ok || len(fields) <= system {
		return 0, eris.New("the stat file of the daemon has no processor time; the process may have ended")
	}
	var sum int64
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "the processor time in the stat file isn't a number")
		}
		sum += n
	}
	return time.Duration(sum) * time.Second / clockTicks, nil
}

func (m *meter) writeJSON(v any) error { return json.NewEncoder(m.out).Encode(v) }

func (m *meter) printTables() error {
	w := tabwriter.NewWriter(m.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if len(m.latencies) > 0 {
		fmt.Fprintln(w, "case\tms\tdirect p50\tp99\tdaemon p50\tp99\tadded p50\tp99\t")
	}
	for _, l := range m.latencies {
		l.First.row(w, l.Case, "first")
		if l.Gap.Daemon[0] > 0 {
			l.Gap.row(w, l.Case, "gap")
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(m.costs) > 0 {
		fmt.Fprintln(w, "case\tseconds\trequests\ttokens\ttokens/s\tcores\tus/request\tus/token\t")
	}
	for _, c := range m.costs {
		fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%.0f\t%.3f\t%.1f\t%.1f\t\n", c.Case, c.Seconds, c.Requests, c.Tokens,
			float64(c.Tokens)/c.Seconds, c.CPU/c.Seconds, micros(c.CPU, c.Requests), micros(c.CPU, c.Tokens))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	m.printSlopes()
	return nil
}

func (p comparison) row(w *tabwriter.Writer, name, what string) {
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, what, p.Direct[0], p.Direct[1],
		p.Daemon[0], p.Daemon[1], p.Daemon[0]-p.Direct[0], p.Daemon[1]-p.Direct[1])
}

func micros(seconds float64, n int64) float64 {
	if n == 0 {
		return 0
	}
	return seconds * 1e6 / float64(n)
}

// printSlopes prints the fitted processor time per request and per token.
func (m *meter) printSlopes() {
	idle := 0.0
	var streams []cost
	for _, c := range m.costs {
		switch {
		case c.Case == "idle":
			idle = c.CPU / c.Seconds
		case c.Tokens > 0:
			streams = append(streams, c)
		}
	}
	if len(streams) < 2 {
		return
	}
	request, token := fit(streams, idle)
	fmt.Fprintf(m.out, "slopes, %d cores, seed %d: %.0f us a generate request with a prompt of %d tokens, %.2f us a token, idle %.4f cores\n",
		runtime.NumCPU(), m.set.Seed, request*1e6, cpuPrompt, token*1e6, idle)
	fmt.Fprintf(m.out, "at 7,430 tokens and 25 requests a second: %.3f cores\n", 7430*token+25*request+idle)
}

// fit returns the processor time in seconds per request and per token. It
// minimizes the squares of the relative errors of the cases.
func fit(cases []cost, idle float64) (request, token float64) {
	var rr, rt, tt, r1, t1 float64
	for _, c := range cases {
		cpu := c.CPU - idle*c.Seconds
		if cpu <= 0 {
			continue
		}
		r, t := float64(c.Requests)/cpu, float64(c.Tokens)/cpu
		rr, rt, tt, r1, t1 = rr+r*r, rt+r*t, tt+t*t, r1+r, t1+t
	}
	det := rr*tt - rt*rt
	if det == 0 {
		return 0, 0
	}
	return (r1*tt - t1*rt) / det, (t1*rr - r1*rt) / det
}
