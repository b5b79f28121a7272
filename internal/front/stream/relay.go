package stream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/pool"
)

// relay passes each event of a run at engine s to the client as it arrives. It returns
// nil after the last one.
func (j *job) relay(ctx context.Context, cancel context.CancelCauseFunc, s pool.Server, resp *proxy.Response) *proxy.SendError {
	events := newEventReader(resp.Body, j.memory.Response(s.Addr, resp.Close))
	defer events.close()
	var stall *watch
	if j.route.Resume && j.runs < j.route.Attempts {
		stall = j.watch(ctx, cancel, s, max(stallGaps*j.route.Gap, minStallTimeout), pool.TimedOut)
	}
	defer stall.stop()
	flush := http.NewResponseController(j.out)
	for {
		e, err := stall.next(events)
		if ended := stall.verdict(); ended != nil {
			return ended
		}
		if errors.Is(err, io.EOF) {
			return j.streamEnded(resp)
		}
		if err != nil {
			return &proxy.SendError{Fault: event.FaultBroken, Err: err}
		}
		if !e.empty && j.runEvents == 0 && !j.fixVersion(ctx) {
			return &proxy.SendError{Fault: event.FaultFailed, Err: errVersion}
		}
		j.checkRecord(ctx, s)
		if !j.streaming {
			if !j.keep() {
				return errStopped
			}
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
		j.lastEventAt = time.Now()
		if j.runEvents++; j.runEvents == 1 {
			j.firstEventAt = time.Now()
		}
		j.goneOn = j.goneOn || j.guard.RecordProgress(j.req, j.service.Name, j.progress())
		j.lease.SetGenerated(j.tokens(j.runEvents))
		stall.progress()
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
		j.recent.Add(j.service.Name, time.Since(j.leasedAt))
	}
	return nil
}
