// Package slope measures how the cost of membership and dissemination for a
// daemon grows with the size of the fleet. The state machines of all daemons run
// in one process with an injected clock. Documents and sockets, which the
// simulation leaves out, are measured separately.
package slope

import (
	"runtime"
	"syscall"
	"time"

	"citronrock.example/citronrock/internal/bench/memnet"
	"citronrock.example/citronrock/internal/peer/dissem"
)

// Rates of change in the planned fleet.
const (
	// changeEvery is the time between changes of the document: 10,000 a day.
	changeEvery = 24 * time.Hour / 10_000
	// restartEvery is the time between restarts in the whole fleet: 460 a day.
	restartEvery = 24 * time.Hour / 460
	// downFor is the time between the end of a process and the start of the next.
	downFor = 5 * time.Second
)

// Case is the configuration of one simulation.
type Case struct {
	Seed    uint64
	Daemons int
	Domains int
	// Time is the measured simulated time.
	Time time.Duration
	// Sizes are the sizes of documents and instance lists on the wire.
	Sizes Sizes
}

// Sizes are encoded sizes in bytes.
type Sizes struct {
	// Document and List are the uncompressed sizes, Packed and PackedList those
	// with gzip, as the platform sends them. Patch and Change are the sizes of one
	// change, as peers send it.
	Document   int `json:"document"`
	Packed     int `json:"packed"`
	Patch      int `json:"patch"`
	List       int `json:"list"`
	PackedList int `json:"packedlist"`
	Change     int `json:"change"`
}

// Result is the result of a Case. Rates are per daemon, except Reads.
type Result struct {
	Case    string `json:"case"`
	Seed    uint64 `json:"seed"`
	Daemons int    `json:"daemons"`
	Domains int    `json:"domains"`
	Seconds int    `json:"seconds"`
	// Core is the share of one core in percent, including the simulator.
	Core float64 `json:"core"`
	// Heap is the heap in use in kilobytes per daemon.
	Heap float64 `json:"heap"`
	// In and Out are the mean bytes per second received and sent. Busiest is the
	// traffic of the busiest daemon in both directions, Watcher the mean of the
	// watchers of the platform.
	In      float64 `json:"in"`
	Out     float64 `json:"out"`
	Busiest float64 `json:"busiest"`
	Watcher float64 `json:"watcher"`
	// Reads is the reads of the platform per second by the whole fleet.
	Reads float64 `json:"reads"`
	// Force and Forcemax are the mean and the longest time in seconds until a
	// version was in force at all daemons.
	Force    float64 `json:"force"`
	Forcemax float64 `json:"forcemax"`
	// Lost is the time in seconds from the loss of a failure domain until all
	// memberships reflect it. Lostforce is the time until a version published at
	// the loss is in force. Lostpeak is the mean traffic per daemon in bytes per
	// second from the loss until all memberships reflect it, and over at least 10 s.
	Lost      float64 `json:"lost"`
	Lostforce float64 `json:"lostforce"`
	Lostpeak  float64 `json:"lostpeak"`
	Packet    int     `json:"packet"`
	Breaches  int     `json:"breaches"`
	Sizes     Sizes   `json:"sizes"`
}

// run is a Case in progress.
type run struct {
	Case
	f       *memnet.Fleet
	version uint64
	force   []time.Duration
}

// Run simulates a Case.
func Run(c Case) Result {
	before := heap()
	r := &run{Case: c, f: memnet.New(memnet.Settings{Seed: c.Seed, Domains: c.Domains, Delay: time.Millisecond, Jitter: time.Millisecond}), version: 1}
	r.f.FetchBytes, r.f.PlatformBytes = c.Sizes.fetch, c.Sizes.platform
	r.f.Platform.Publish(1, nil)
	for range c.Daemons {
		r.f.Add()
	}
	r.f.List()
	r.f.Run(90 * time.Second)
	out := Result{Case: "fleet", Seed: c.Seed, Daemons: c.Daemons, Domains: c.Domains, Seconds: int(c.Time.Seconds()), Sizes: c.Sizes}
	r.steadyState(&out)
	out.Heap = float64(heap()-before) / float64(c.Daemons) / 1e3
	r.domainLoss(&out)
	out.Packet, out.Breaches = r.f.Largest, len(r.f.Violations)
	return out
}

func (s Sizes) fetch(k dissem.Kind, from, to uint64) int {
	switch {
	case k == dissem.Document && from == 0:
		return s.Document
	case k == dissem.Document:
		return s.Patch * int(to-from)
	case from == 0:
		return s.List
	}
	return s.Change * int(to-from)
}

func (s Sizes) platform(k dissem.Kind) int {
	if k == dissem.Document {
		return s.Packed
	}
	return s.PackedList
}

// steadyState measures the fleet with changes of the document and restarts at
// their planned rates.
func (r *run) steadyState(out *Result) {
	bytesBefore := r.bytes()
	reads, spent, from := r.f.Platform.Reads, cpu(), r.f.Now()
	restart := from + restartEvery/2
	for r.f.Now()-from < r.Time {
		at := r.f.Now()
		if at >= restart {
			restart += restartEvery
			r.restart()
		}
		r.force = append(r.force, r.publish())
		r.f.Run(changeEvery - (r.f.Now()-at)%changeEvery)
	}
	took := (r.f.Now() - from).Seconds()
	n := float64(r.Daemons)
	out.Core = (cpu() - spent).Seconds() / took / n * 100
	out.Reads = float64(r.f.Platform.Reads-reads) / took
	r.traffic(bytesBefore, took, out)
	for _, d := range r.force {
		out.Force += d.Seconds() / float64(len(r.force))
		out.Forcemax = max(out.Forcemax, d.Seconds())
	}
}

// publish publishes the next version and returns the time until it is in force at
// all daemons, 2 minutes at most.
func (r *run) publish() time.Duration {
	r.version++
	v := r.version
	r.f.Platform.Publish(v, nil)
	d, _ := r.f.RunUntil(2*time.Minute, func() bool { return r.f.InForce(v) })
	return d
}

// restart stops one daemon gracefully and starts it again after downFor.
func (r *run) restart() {
	n := r.f.Live()[int(r.version)%len(r.f.Live())]
	n.Leave()
	r.f.List()
	r.f.Run(time.Second)
	n.Kill()
	r.f.List()
	r.f.Run(downFor)
	n.Start()
	r.f.List()
}

// traffic sets the traffic rates of out from the byte counts before and now.
func (r *run) traffic(before map[string][2]uint64, took float64, out *Result) {
	watchers := 0.0
	for _, n := range r.f.Live() {
		in, sent := float64(n.In-before[n.Name][0])/took, float64(n.Out-before[n.Name][1])/took
		out.In += in / float64(r.Daemons)
		out.Out += sent / float64(r.Daemons)
		out.Busiest = max(out.Busiest, in+sent)
		if n.View().Dissemination().Watching() {
			out.Watcher += in + sent
			watchers++
		}
	}
	out.Watcher /= max(watchers, 1)
}

func (r *run) bytes() map[string][2]uint64 {
	b := map[string][2]uint64{}
	for _, n := range r.f.Live() {
		b[n.Name] = [2]uint64{n.In, n.Out}
	}
	return b
}

// domainLoss measures the simultaneous loss of all daemons of a failure domain.
func (r *run) domainLoss(out *Result) {
	for _, n := range r.f.Live() {
		if n.Domain == "z0" {
			n.Kill()
		}
	}
	if len(r.f.Live()) == 0 {
		return
	}
	before, from := r.bytes(), r.f.Now()
	out.Lostforce = r.publish().Seconds()
	_, _ = r.f.RunUntil(time.Minute, r.f.Agree)
	out.Lost = (r.f.Now() - from).Seconds()
	if left := 10*time.Second - (r.f.Now() - from); left > 0 {
		r.f.Run(left)
	}
	took := (r.f.Now() - from).Seconds()
	for _, n := range r.f.Live() {
		out.Lostpeak += float64(n.In-before[n.Name][0]+n.Out-before[n.Name][1]) / took / float64(len(before))
	}
}

// cpu returns the user and system time of the process, 0 if it can't be read.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of heap in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
