package stream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"golang.org/x/sync/singleflight"
)

const (
	// findTimeout bounds the search for the version at which a stream began.
	findTimeout = 250 * time.Millisecond
	// originRetryAfter is the Retry-After delay for a stream whose version is not known
	// here. Another daemon may know it, and a daemon that just started may learn it.
	originRetryAfter = 500 * time.Millisecond
	// checkTimeout bounds the question which process an engine is.
	checkTimeout = 300 * time.Millisecond
	// minLeftShare is the least part of the expected output that a stream which goes on
	// is assumed to have left.
	minLeftShare = 0.2
	// maxStrays bounds the engines of other versions that a lease request excludes after
	// the owner has granted one of them.
	maxStrays = 64
	// maxTextEvents bounds the number of events that a client may claim to have.
	maxTextEvents = 1 << 20
)

// Reasons for refusing a stream that goes on.
const (
	// reasonOrigin is for streams of which it is not known at which version they began.
	reasonOrigin = "origin"
	// reasonVersion is for streams whose version no engine has.
	reasonVersion = "version"
)

// errUnasked means that an engine was not asked for its process.
var errUnasked = errors.New("the engine was not asked for its process")

// errVersion ends a run whose engine was replaced around the time of its start.
var errVersion = errors.New("the engine's entry changed before the first event")

// version is the software version at which a response goes on.
type version struct {
	// fixed is set once the request may have run, or events of the stream were sent in an
	// earlier attempt. Engines of several versions that ran one attempt would contradict
	// each other when daemons that have lost their records ask them.
	fixed bool
	// begun is set once events of the stream were sent, in this or in an earlier attempt.
	begun bool
	// name is empty if the version is not known. It then equals no other.
	name string
	// run is the number of the run that brought the first event, zero if that was in an
	// earlier attempt.
	run int
	// recorded is set once the origins have the version from this response.
	recorded bool
}

// noOrigins knows no stream.
type noOrigins struct{}

func (noOrigins) Record(context.Context, origin.Origin) {}

func (noOrigins) Find(context.Context, string, string) (string, bool) { return "", false }

// takenUp reports whether the client takes up a stream that an earlier attempt began.
func (j *job) takenUp() bool { return j.req.LastEventID != "" || j.req.Resumes != "" }

// findOrigin fixes the version of a stream that the client takes up. It refuses one of
// which it is not known where it began.
func (j *job) findOrigin(ctx context.Context) bool {
	if !j.takenUp() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	name, ok := "", false
	if j.req.Resumes != "" || !hasChoice(j.route) {
		name, ok = j.origins.Find(ctx, j.service.Name, j.req.Resumes)
	}
	j.version = version{fixed: true, begun: true, name: name}
	if ok && name != "" {
		return true
	}
	j.outcome.RetryAfter = min(originRetryAfter, j.maxRetryAfter())
	j.fail(ctx, reasonOrigin)
	return false
}

// hasChoice reports whether a route's requests go to several services.
func hasChoice(r *config.Route) bool {
	n := 0
	for _, s := range r.Splits {
		if s.Weight > 0 {
			n++
		}
	}
	return n > 1
}

// mayGoOn refuses a stream if no engine of its version is left, unless it waits for one. The
// version may come back later, so that the client is asked to try once more, late.
func (j *job) mayGoOn(ctx context.Context) bool {
	switch {
	case !j.version.fixed, j.move.silent, j.begun() && j.mayReturn():
		return true
	case j.table.HasVersion(time.Now(), j.service.Name, j.version.name, j.excluded):
		return true
	}
	j.outcome.RetryAfter = j.maxRetryAfter()
	j.fail(ctx, reasonVersion)
	return false
}

// retryAfter returns the delay after a refusal by the owner. An owner that finds no engine
// of the version, though one is known here, has an older list of engines.
func (j *job) retryAfter(refused *lease.RefusedError) time.Duration {
	if j.version.fixed && refused.Reason == ledger.ReasonNoEngine {
		return min(originRetryAfter, refused.RetryAfter)
	}
	return refused.RetryAfter
}

// maxRetryAfter returns the longest delay after which the client would still retry.
func (j *job) maxRetryAfter() time.Duration {
	return max(time.Duration(maxRetryAfterShare*float64(time.Until(j.deadline))), time.Millisecond)
}

// chooseServer chooses a server of a service that has no ledger.
func (j *job) chooseServer(excluded []string) (pool.Server, bool) {
	if j.version.fixed {
		return j.table.ChooseVersion(time.Now(), j.service.Name, j.domain, j.version.name, excluded)
	}
	return j.table.Choose(time.Now(), j.service.Name, j.domain, excluded)
}

// goOn asks for what a stream that goes on needs: engines of its version, and memory for
// the text that the client has, which has to be read like the prompt.
func (j *job) goOn(req *ledger.Request) {
	if !j.version.fixed {
		return
	}
	text := j.text()
	req.Resumed, req.Version = true, j.version.name
	req.Prompt += text
	req.Expected = max(req.Expected-text, int(minLeftShare*float64(req.Expected)))
}

// text returns the length in tokens of what the client has of the stream. It is zero for
// a stream that is taken up at an event whose ID is not a number.
func (j *job) text() int {
	events, err := strconv.Atoi(j.lastEventID)
	if err != nil || events < 0 {
		events = j.events
	}
	if most := j.req.MaxOutput; most > 0 {
		return min(j.tokens(min(events, most)), most)
	}
	return j.tokens(min(events, maxTextEvents))
}

// suits reports whether the request may be sent to an engine.
func (j *job) suits(s pool.Server) bool {
	return !j.version.fixed || s.IsVersion(j.version.name)
}

// checkGrant gives back a lease on an engine of another version before its prompt is
// prefilled. The owner may not know the version, or have an older entry.
func (j *job) checkGrant() step {
	if s, ok := j.table.Available(time.Now(), j.lease.Decode); ok && !j.suits(s) {
		return j.strayed(s)
	}
	return finish
}

// isProcess reports whether an engine is still the process of its entry. It may start again
// under its ID with another version, this daemon may not have the new entry yet, and the
// engine itself does not check versions. It is asked before a stream goes on there, and
// before one begins if this daemon has a reason to doubt.
func (j *job) isProcess(ctx context.Context, s pool.Server) bool {
	if j.service.Engine == nil || !j.version.begun && j.table.IsConfirmed(time.Now(), s) {
		return true
	}
	return j.confirm(ctx, s)
}

// confirm asks an engine which process it is. An answer to a question that was asked earlier
// counts if nothing has raised a doubt since.
func (j *job) confirm(ctx context.Context, s pool.Server) bool {
	for called := time.Now(); ; {
		select {
		case <-ctx.Done():
			return false
		case a := <-j.ask(ctx, s):
			asked, ok := a.Val.(time.Time)
			if !ok {
				a.Err = errUnasked // after a panic
			}
			if a.Err != nil {
				j.log.Info("process of an engine not confirmed", "request", j.req.ID, "server", s.ID, "error", a.Err.Error())
				if asSendError(a.Err).Misdirected {
					j.table.MarkMisdirected(time.Now(), s)
				}
				return false
			}
			if !asked.Before(called) || j.table.IsConfirmed(time.Now(), s) {
				return true
			}
		}
	}
}

// ask asks an engine which process it is and returns when it was asked. Streams that ask at
// the same time share the question.
func (j *job) ask(ctx context.Context, s pool.Server) <-chan singleflight.Result {
	p := s.Process()
	return j.checks.DoChan(fmt.Sprint(p.StartedAt, " ", p.ID), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		defer cancel()
		defer panics.Recover(j.log, "question to an engine")
		asked := time.Now()
		_, err := j.backends.Usage(ctx, s)
		if err == nil {
			j.table.ConfirmProcess(asked, s)
		}
		return asked, err
	})
}

// strayed prepares another lease without the engines of other versions.
func (j *job) strayed(s pool.Server) step {
	j.strays++
	others := 0
	for _, other := range j.table.Usable(time.Now(), j.service.Name) {
		if other.ID != s.ID && other.Stage != pool.Prefill && !j.suits(other) && others < maxStrays {
			j.exclude(other.ID)
			others++
		}
	}
	return j.retryElsewhere(s.ID, "")
}

// fixVersion fixes the version of the response before the first event of a run is sent to
// the client, and records it for its next attempts. It returns false if the run must not
// go on: the stream has a version, and the engine may have got another one.
func (j *job) fixVersion(ctx context.Context) bool {
	same := j.isSame(j.server) && j.hasAnswered(ctx, j.server)
	if j.version.begun && !same {
		return false
	}
	if !j.version.begun {
		j.version.fixed, j.version.begun, j.version.run, j.version.name = true, true, j.runs, ""
		if same {
			j.version.name = j.server.Version
		}
	}
	if !j.version.recorded {
		j.record(ctx)
	}
	return true
}

// noteRun fixes the version of a request that may have run at an engine.
func (j *job) noteRun(s pool.Server) {
	j.runs++
	j.mayHaveRun = true
	if !j.version.fixed && s.Version != "" {
		j.version.fixed, j.version.name = true, s.Version
	}
}

// isSame reports whether the process that answered is the one of the entry to which the
// request was sent, at the version of that entry.
func (j *job) isSame(s pool.Server) bool {
	now, ok := j.table.Entry(s.ID)
	if !ok || now.Process() == s.Process() {
		return !ok || now.Version == s.Version
	}
	return j.table.HasServed(s, j.answeredAt)
}

// hasAnswered reports whether the process of an entry that was not replaced has answered. It
// is asked if its end seemed possible since the request was sent: a connection that fails
// after the header may be another process's.
func (j *job) hasAnswered(ctx context.Context, s pool.Server) bool {
	if now, ok := j.table.Entry(s.ID); ok && now.Process() != s.Process() {
		return true
	}
	return j.service.Engine == nil || j.table.IsConfirmed(time.Now(), s) || j.confirm(ctx, s)
}

// record records the version for the attempt that brought the first event.
func (j *job) record(ctx context.Context) {
	if !j.route.Resume {
		return
	}
	j.version.recorded = true
	o := origin.Origin{Attempt: j.req.ID, Service: j.service.Name, Version: j.version.name, Until: j.deadline}
	if j.takenUp() {
		o.Attempt = j.req.Resumes
	}
	if j.req.Timeout > 0 {
		o.Until = j.req.Received.Add(j.req.Timeout)
	}
	if o.Attempt != "" {
		j.origins.Record(ctx, o)
	}
}

// mayMove reports whether a run that broke off may go on at another engine than s: the
// version of the stream is known, and another engine has it or may have it again.
func (j *job) mayMove(ctx context.Context, s pool.Server) bool {
	if !j.version.fixed {
		return true
	}
	j.checkRecord(ctx, s)
	return j.hasOther(s) || j.begun() && j.mayReturn()
}

// checkRecord takes the recorded version back if another process has the ID of the engine
// that brought the first event by now: it may have brought that event, unseen, unless the
// earlier one was heard of, or ended, after the run had begun.
func (j *job) checkRecord(ctx context.Context, s pool.Server) {
	v := &j.version
	if now, ok := j.table.Entry(s.ID); ok && now.Version != v.name && v.run == j.runs && v.name != "" && !j.isSame(s) {
		v.name = ""
		j.record(ctx)
	}
}

// mayReturn reports whether an engine of the stream's version is there or may be again: one
// that is listed and doesn't leave, whatever its stage and health.
func (j *job) mayReturn() bool {
	if j.table.HasVersion(time.Now(), j.service.Name, j.version.name, nil) {
		return true
	}
	return slices.ContainsFunc(j.table.All(), func(s pool.Server) bool {
		return s.Service == j.service.Name && s.IsVersion(j.version.name) && !s.Draining
	})
}

// hasOther reports whether an engine other than s has the version of the stream.
func (j *job) hasOther(s pool.Server) bool {
	return !j.version.fixed || j.table.HasVersion(time.Now(), j.service.Name, j.version.name, slices.Concat(j.excluded, []string{s.ID}))
}
