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

// errStall is the cause of the cancellation of a stream without events.
var errStall = errors.New("no event within the stall timeout")

// relay passes each event of a run to the client as it arrives. It returns nil after
// the last one.
func (j *job) relay(ctx context.Context, cancel context.CancelCauseFunc, resp *proxy.Response) *proxy.SendError {
	var stall *time.Timer
	limit := max(stallGaps*j.route.Gap, minStallTimeout)
	if j.route.Resume && j.runs < j.route.Attempts {
		stall = time.AfterFunc(limit, func() { cancel(errStall) })
		defer stall.Stop()
	}
	events := newEventReader(resp.Body, j.memory)
	defer events.close()
	flush := http.NewResponseController(j.out)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return j.streamEnded(resp)
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
		if !e.empty && j.runEvents == 0 && !j.fixVersion(ctx) {
			return &proxy.SendError{Fault: event.FaultFailed, Err: errVersion}
		}
		if !j.streaming {
			j.startStream(resp)
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
			j.lastEventID = e.id
		}
		j.events++
		if j.runEvents++; j.runEvents == 1 {
			j.firstEventAt = time.Now()
		}
		j.goneOn = j.goneOn || j.guard.RecordProgress(j.req, j.service.Name, j.progress())
		j.lease.SetGenerated(j.tokens(j.runEvents))
	}
}

// tokens returns the length of a number of events in tokens.
func (j *job) tokens(events int) int {
	if j.service.Engine == nil {
		return events
	}
	return events * max(j.service.Engine.Stride, 1)
}

// startStream sends the header of the first run's response.
func (j *job) startStream(resp *proxy.Response) {
	j.headerSent, j.streaming = true, true
	j.outcome.TimeToFirst = time.Since(j.req.Received)
	j.learnFirstEventDelay(j.service.Name, time.Since(j.leasedAt))
	proxy.CopyHeader(j.out.Header(), resp.Header)
	j.out.WriteHeader(http.StatusOK)
}

// streamEnded handles the regular end of a stream.
func (j *job) streamEnded(resp *proxy.Response) *proxy.SendError {
	if !j.streaming {
		j.startStream(resp)
	}
	if !j.takenUp() { // a part of the answer says little about whole ones
		j.learnOutput(j.route.Name, j.req, j.tokens(j.events))
		j.learnHoldTime(j.service.Name, time.Since(j.leasedAt))
	}
	return nil
}
