package budget

import "time"

// Kind is a kind of request to a backend server.
type Kind uint8

const (
	// Run is a request that the server runs.
	Run Kind = iota
	// Prefill has a prompt prefilled. The first one that an engine accepts is not counted.
	Prefill
)

// ticket is one retry that was taken from a budget.
type ticket struct {
	takenAt time.Time
	// earned is the part that was earned by requests, the oldest at the time from.
	earned float64
	from   time.Duration
}

// Charge counts what reaches backend servers for one request of a client, and charges the
// retry budget for each arrival beyond the first when it is sent. It is not safe for
// concurrent use.
type Charge struct {
	budget  *Budget
	service string

	runs, prefills int
	accepted       bool
	// spent are the retries that were charged for arrivals, and reserved those that were
	// charged ahead.
	spent, reserved []ticket
}

// Open counts a request of a client, which adds to the budget of its service, whether it
// is sent to a server or not. Close must be called.
func (q *Budget) Open(now time.Time, service string) *Charge {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(service)
	s.earned.Add(now.Sub(q.start))
	s.usage.Requests++
	return &Charge{budget: q, service: service}
}

// extra returns the number of arrivals beyond the first one.
func (c *Charge) extra() int {
	n := c.runs + c.prefills - 1
	if c.accepted {
		n--
	}
	return max(n, 0)
}

// cost returns how many retries the given requests need, made one after the other, in
// addition to those spent. Prefills are accepted if another request follows.
func (c *Charge) cost(kinds []Kind) int {
	after, most := *c, 0
	for _, k := range kinds {
		after.add(k, 1)
		most = max(most, after.extra()-len(c.spent))
		after.accepted = after.accepted || k == Prefill
	}
	return most
}

func (c *Charge) add(k Kind, n int) {
	if k == Prefill {
		c.prefills += n
	} else {
		c.runs += n
	}
}

// Reserve charges the budget ahead for the given requests, made one after the other. It
// returns false, and reserves nothing more, if the budget lacks a retry for one.
func (c *Charge) Reserve(now time.Time, kinds ...Kind) bool {
	c.renew(now)
	need, had := c.cost(kinds), len(c.reserved)
	for len(c.reserved) < need {
		t, ok := c.budget.take(now, c.service)
		if !ok {
			c.release(now, had)
			return false
		}
		c.reserved = append(c.reserved, t)
	}
	return true
}

// CanReserve reports whether Reserve would succeed now.
func (c *Charge) CanReserve(now time.Time, kinds ...Kind) bool {
	need := c.cost(kinds) - len(c.reserved)
	return need <= 0 || c.budget.left(now, c.service) >= float64(need)-rounding
}

// Send counts a request that is about to be sent to a server. It returns false if the
// budget lacks a retry for it, and the request must not be sent.
func (c *Charge) Send(now time.Time, k Kind) bool {
	if !c.Reserve(now, k) {
		return false
	}
	n := c.cost([]Kind{k})
	c.add(k, 1)
	c.spent = append(c.spent, c.reserved[len(c.reserved)-n:]...)
	c.reserved = c.reserved[:len(c.reserved)-n]
	return true
}

// NotReceived takes back the count of a request that did not reach its server.
func (c *Charge) NotReceived(k Kind) {
	c.add(k, -1)
	c.settle()
}

// Accepted notes that an engine accepted a prefill.
func (c *Charge) Accepted() {
	c.accepted = true
	c.settle()
}

// settle keeps what was charged for too many arrivals for the next ones.
func (c *Charge) settle() {
	for len(c.spent) > c.extra() {
		last := len(c.spent) - 1
		c.reserved, c.spent = append(c.reserved, c.spent[last]), c.spent[:last]
	}
}

// renew returns what was reserved too long ago to be used.
func (c *Charge) renew(now time.Time) {
	kept := c.reserved[:0]
	for _, t := range c.reserved {
		if now.Sub(t.takenAt) > c.budget.late() {
			c.budget.giveBack(now, c.service, t)
			continue
		}
		kept = append(kept, t)
	}
	c.reserved = kept
}

// release returns what is reserved beyond n retries.
func (c *Charge) release(now time.Time, n int) {
	for _, t := range c.reserved[n:] {
		c.budget.giveBack(now, c.service, t)
	}
	c.reserved = c.reserved[:n]
}

// Close returns what was reserved and not used.
func (c *Charge) Close(now time.Time) { c.release(now, 0) }
