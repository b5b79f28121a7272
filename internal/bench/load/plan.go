package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// arrival is one scheduled request. It is determined by the seed and seq alone,
// so that runs with the same seed send the same requests.
type arrival struct {
	seq    uint64
	at     time.Duration
	class  *Class
	prompt string
	output uint32
	body   []byte
	// rnd chooses the daemon of each attempt.
	rnd *rand.Rand
}

// workload draws the arrivals of a Poisson process.
type workload struct {
	seed        uint64
	classes     []Class
	totalWeight float64
	rate        float64
	gapRand     *rand.Rand
	at          time.Duration
	seq         uint64
}

func newWorkload(seed uint64, classes []Class, rate float64) *workload {
	p := &workload{seed: seed, classes: classes, rate: rate, gapRand: rand.New(rand.NewPCG(seed, 0))}
	for _, c := range classes {
		p.totalWeight += c.Weight
	}
	return p
}

func (p *workload) next() arrival {
	p.seq++
	p.at += time.Duration(p.gapRand.ExpFloat64() / p.rate * float64(time.Second))
	r := arrivalRand(p.seed, p.seq)
	a := arrival{seq: p.seq, at: p.at, class: p.pickClass(r), rnd: r}
	if a.class.plain() {
		a.body = []byte(repeatText(fmt.Sprintf("%s %d/%d ", a.class.Name, p.seed, p.seq), a.class.Body))
		return a
	}
	a.output = a.class.Output.draw(r)
	a.prompt = p.prompt(r, a.class)
	return a
}

// arrivalRand returns the random source of one arrival.
func arrivalRand(seed, seq uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seq)) }

func (p *workload) pickClass(r *rand.Rand) *Class {
	x := r.Float64() * p.totalWeight
	for i := range p.classes {
		x -= p.classes[i].Weight
		if x < 0 {
			return &p.classes[i]
		}
	}
	return &p.classes[len(p.classes)-1]
}

// prompt joins a shared prefix and a suffix that is unique to the request.
func (p *workload) prompt(r *rand.Rand, c *Class) string {
	const bytesPerToken = 4
	size := int(c.Prompt.draw(r)) * bytesPerToken
	shared := 0
	prefix := ""
	if c.Prefixes > 0 {
		shared = int(float64(size) * c.SharedFraction)
		k := rand.NewZipf(r, 1.2, 1, c.Prefixes-1).Uint64()
		prefix = repeatText(fmt.Sprintf("%s %d/head %d ", c.Name, p.seed, k), shared)
	}
	return prefix + repeatText(fmt.Sprintf("%s %d/%d %s", c.Name, p.seed, p.seq, c.Poison), size-shared)
}

// repeatText repeats text up to size bytes, but returns it at least once in full.
func repeatText(text string, size int) string {
	n := size/len(text) + 1
	return strings.Repeat(text, n)[:max(size, len(text))]
}
