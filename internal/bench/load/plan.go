package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// arrival is one planned request. It depends on the seed and its number only.
type arrival struct {
	number uint64
	at     time.Duration
	class  *Class
	prompt string
	output uint32
	body   []byte
	// pick chooses the daemons that the request goes to.
	pick *rand.Rand
}

// plan draws arrivals with exponential gaps.
type plan struct {
	seed    uint64
	classes []Class
	sum     float64
	rate    float64
	gaps    *rand.Rand
	at      time.Duration
	number  uint64
}

func newPlan(seed uint64, classes []Class, rate float64) *plan {
	p := &plan{seed: seed, classes: classes, rate: rate, gaps: rand.New(rand.NewPCG(seed, 0))}
	for _, c := range classes {
		p.sum += c.Weight
	}
	return p
}

func (p *plan) next() arrival {
	p.number++
	p.at += time.Duration(p.gaps.ExpFloat64() / p.rate * float64(time.Second))
	r := picker(p.seed, p.number)
	a := arrival{number: p.number, at: p.at, class: p.choose(r), pick: r}
	if a.class.plain() {
		a.body = []byte(fill(fmt.Sprintf("%s %d/%d ", a.class.Name, p.seed, p.number), a.class.Body))
		return a
	}
	a.output = a.class.Output.draw(r)
	a.prompt = p.prompt(r, a.class)
	return a
}

// picker returns the random numbers of one arrival.
func picker(seed, number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }

func (p *plan) choose(r *rand.Rand) *Class {
	x := r.Float64() * p.sum
	for i := range p.classes {
		x -= p.classes[i].Weight
		if x < 0 {
			return &p.classes[i]
		}
	}
	return &p.classes[len(p.classes)-1]
}

// prompt joins a shared beginning and a tail that no other request has.
func (p *plan) prompt(r *rand.Rand, c *Class) string {
	const bytesPerToken = 4
	size := int(c.Prompt.draw(r)) * bytesPerToken
	shared := 0
	head := ""
	if c.Prefixes > 0 {
		shared = int(float64(size) * c.SharedFraction)
		k := rand.NewZipf(r, 1.2, 1, c.Prefixes-1).Uint64()
		head = fill(fmt.Sprintf("%s %d/head %d ", c.Name, p.seed, k), shared)
	}
	return head + fill(fmt.Sprintf("%s %d/%d %s", c.Name, p.seed, p.number, c.Poison), size-shared)
}

// fill repeats text to size bytes, at least once in full.
func fill(text string, size int) string {
	n := size/len(text) + 1
	return strings.Repeat(text, n)[:max(size, len(text))]
}
