package stream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
)

// errStall ends a stream without events.
var errStall = errors.New("no event in time")

// relay passes the events of a run on to the client, each one as it comes. It
// returns nil after the last one.
func (j *job) relay(ctx context.Context, cancel context.CancelCauseFunc, reply *proxy.Response) *proxy.SendError {
	var stall *time.Timer
	limit := max(stallFor*j.route.Gap, stallFloor)
	if j.route.Resume && j.runs < j.route.Attempts {
		stall = time.AfterFunc(limit, func() { cancel(errStall) })
		defer stall.Stop()
	}
	events := newReader(reply.Body, j.memory)
	defer events.close()
	flush := http.NewResponseController(j.out)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return j.ended(reply)
		}
		if err != nil {
			fault := event.FaultBroken
			if stall != nil && ctx.Err() == nil && !stall.Stop() {
				fault, err = event.FaultStalled, errStall
			}
			return &proxy.SendError{Fault: fault, Err: err}
		}
		if stall != nil && !e.empty {
			stall.Reset(limit)
		}
		if !j.begun {
			j.begin(reply)
		}
		if _, err = j.out.Write(e.bytes); err == nil {
			err = flush.Flush()
		}
		if err != nil {
			return &proxy.SendError{Fault: event.FaultBroken, Err: err}
		}
		if e.empty {
			continue
		}
		if e.id != "" {
			j.last = e.id
		}
		j.events++
		j.lease.SetGenerated(j.made())
	}
}

// made is the output so far in tokens.
func (j *job) made() int {
	if j.service.Engine == nil {
		return j.events
	}
	return j.events * max(j.service.Engine.Stride, 1)
}

// begin sends the header of the first run's answer.
func (j *job) begin(reply *proxy.Response) {
	j.answered, j.begun = true, true
	j.outcome.First = time.Since(j.call.Received)
	j.learnLead(j.service.Name, time.Since(j.leased))
	proxy.CopyHeader(j.out.Header(), reply.Header)
	j.out.WriteHeader(http.StatusOK)
}

// ended follows the regular end of a stream.
func (j *job) ended(reply *proxy.Response) *proxy.SendError {
	if !j.begun {
		j.begin(reply)
	}
	j.learn(j.route.Name, j.call, j.made())
	j.learnStay(j.service.Name, time.Since(j.leased))
	return nil
}
