// Package slope measures what control costs a daemon by the size of the fleet.
// The machines of all daemons run in one process with an injected clock, and
// the parts that the simulation leaves out, documents and sockets, are measured
// apart.
package slope

import (
	"runtime"
	"syscall"
	"time"

	"citronrock.example/citronrock/internal/bench/memnet"
	"citronrock.example/citronrock/internal/peer/dissem"
)

// Rates of the planned size.
const (
	// changeEvery is the time between changes of the document: 10,000 a day.
	changeEvery = 24 * time.Hour / 10_000
	// restartEvery is the time between restarts in the whole fleet: 460 a day.
	restartEvery = 24 * time.Hour / 460
	// downFor is the time between the end of a process and its successor.
	downFor = 5 * time.Second
)

// Case is one run.
type Case struct {
	Seed    uint64
	Daemons int
	Domains int
	// Time is the simulated time measured.
	Time time.Duration
	// Sizes are the sizes of documents and lists on the wire.
	Sizes Sizes
}

// Sizes are encoded sizes in bytes.
type Sizes struct {
	// Document and List are whole, Packed and PackedList as the platform sends
	// them, with gzip, Patch and Change as peers send one change.
	Document   int `json:"document"`
	Packed     int `json:"packed"`
	Patch      int `json:"patch"`
	List       int `json:"list"`
	PackedList int `json:"packedlist"`
	Change     int `json:"change"`
}

// Figures are the results of a Case. Rates are for each daemon.
type Figures struct {
	Case    string `json:"case"`
	Seed    uint64 `json:"seed"`
	Daemons int    `json:"daemons"`
	Domains int    `json:"domains"`
	Seconds int    `json:"seconds"`
	// Core is the share of one core in percent, simulator included.
	Core float64 `json:"core"`
	// Heap is in kilobytes.
	Heap float64 `json:"heap"`
	// In and Out are bytes a second on the mean, Busiest those in both
	// directions of the busiest daemon, Watcher of the mean watcher.
	In      float64 `json:"in"`
	Out     float64 `json:"out"`
	Busiest float64 `json:"busiest"`
	Watcher float64 `json:"watcher"`
	// Reads is platform reads a second by the whole fleet.
	Reads float64 `json:"reads"`
	// Force and Forcemax are the mean and the longest time in seconds until a
	// version was in force everywhere.
	Force    float64 `json:"force"`
	Forcemax float64 `json:"forcemax"`
	// Lost is the time in seconds until all knew of the loss of a failure
	// domain, Lostforce until a version published at that time was in force,
	// Lostpeak the bytes a second of the mean daemon in the 10 s after it.
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

// Run carries out a Case.
func Run(c Case) Figures {
	before := heap()
	r := &run{Case: c, f: memnet.New(memnet.Settings{Seed: c.Seed, Domains: c.Domains, Delay: time.Millisecond, Jitter: time.Millisecond}), version: 1}
	r.f.FetchBytes, r.f.PlatformBytes = c.Sizes.fetch, c.Sizes.platform
	r.f.Platform.Publish(1, nil)
	for range c.Daemons {
		r.f.Add()
	}
	r.f.List()
	r.f.Run(90 * time.Second)
	out := Figures{Case: "fleet", Seed: c.Seed, Daemons: c.Daemons, Domains: c.Domains, Seconds: int(c.Time.Seconds()), Sizes: c.Sizes}
	r.steady(&out)
	out.Heap = float64(heap()-before) / float64(c.Daemons) / 1e3
	r.loss(&out)
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

// steady measures the usual course of a day: changes and restarts.
func (r *run) steady(out *Figures) {
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

// publish publishes the next version and returns the time until it is in force
// everywhere.
func (r *run) publish() time.Duration {
	r.version++
	v := r.version
	r.f.Platform.Publish(v, nil)
	d, _ := r.f.RunUntil(2*time.Minute, func() bool { return r.f.InForce(v) })
	return d
}

// restart replaces one daemon, as a planned stop and a start do.
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

// traffic derives the bytes a second from counts before.
func (r *run) traffic(before map[string][2]uint64, took float64, out *Figures) {
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

// loss measures the loss of a whole failure domain at once.
func (r *run) loss(out *Figures) {
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

// cpu is the processor time of the process.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is the number of bytes in use.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
