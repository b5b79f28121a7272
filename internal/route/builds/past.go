package builds

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// historyRetry is the time between reads of a history that was too short.
	historyRetry = time.Second
	// maxHistoryReads bounds the calls of one such read.
	maxHistoryReads = 6
	// writeShare is the share of the expected number of entries that a process is assumed
	// to have written in a time: the interval between them is approximate.
	writeShare = 0.95
	// moreEntries is the number of entries of each process that are read in addition.
	// historyStep is the factor by which a history that was too short is extended, or one
	// that the store no longer has is shortened: the number of servers changes.
	moreEntries = 2
	historyStep = 1.25
	// maxMissing is the largest step between the sequence numbers of two entries of a
	// process that is no gap: a write may have failed.
	maxMissing = 2
)

// readHistory reads which servers the store listed within a time before a revision, and
// adds them to the table. It returns false if the store's history is shorter or can't be
// read.
func (f *Finder) readHistory(ctx context.Context, at pool.Revision, within time.Duration) bool {
	if f.heartbeat <= 0 || time.Since(f.historyAt) < historyRetry {
		return false
	}
	start := time.Now()
	back := float64(len(f.table.All())) * (within.Seconds()/(writeShare*f.heartbeat.Seconds()) + moreEntries)
	covered, reads, compacted := time.Duration(0), 0, false
	var err error
	for ; reads < maxHistoryReads; reads++ {
		after := pool.Revision{Era: at.Era, Number: at.Number - min(uint64(back), at.Number)}
		var c *citronrock.Changes
		c, err = f.store.Watch(ctx, after, 0)
		if errors.Is(err, citronrock.ErrCompacted) {
			compacted = true
			back /= historyStep
			continue
		}
		if err != nil {
			break
		}
		// A response that ends before the revision is not the whole history.
		if c.Revision.Before(at) {
			err = errors.New("the store's history ends early")
			break
		}
		covered = f.span(c)
		if after.Number == 0 {
			covered = within // nothing was written before
		}
		if covered >= within {
			f.table.AddHistory(start, start.Add(-covered), c.Servers)
			f.log.Info("history of the store read", "covers", lines.Ms(covered), "servers", len(c.Servers), "reads", reads+1, "took", lines.Ms(time.Since(start)))
			return true
		}
		if compacted {
			err = errors.New("the store keeps no more")
			break
		}
		back *= historyStep
	}
	f.historyAt = time.Now()
	text := ""
	if err != nil {
		text = err.Error()
	}
	f.log.Info("history of the store is too short", "covers", lines.Ms(covered), "reads", reads, "error", text)
	return false
}

// span returns the time that the end of a history covers without a gap, from the number of
// entries that its processes wrote. One process alone may be another writer, so that the
// second one counts.
func (f *Finder) span(c *citronrock.Changes) time.Duration {
	begins := wholeSince(c)
	written := map[pool.Process]int{}
	for _, s := range c.Servers {
		if begins.Before(s.Revision) {
			written[s.Process()]++
		}
	}
	counts := slices.Sorted(maps.Values(written))
	if len(counts) == 0 {
		return 0
	}
	intervals := counts[max(len(counts)-2, 0)] - 1
	return time.Duration(writeShare * float64(intervals) * float64(f.heartbeat))
}

// wholeSince returns the last revision of a history before which changes are missing: the
// removal of an entry that the history does not have, or entries of one process with a gap
// between them, as after a restore of the store from an older copy.
func wholeSince(c *citronrock.Changes) pool.Revision {
	var since pool.Revision
	later := func(r pool.Revision) {
		if since.Before(r) {
			since = r
		}
	}
	listed := map[string]pool.Revision{}
	sequences := map[pool.Process]uint64{}
	for _, s := range c.Servers {
		if _, ok := listed[s.ID]; !ok {
			listed[s.ID] = s.Revision
		}
		last, ok := sequences[s.Process()]
		if ok && s.Sequence > last+maxMissing {
			later(s.Revision)
		}
		sequences[s.Process()] = s.Sequence
	}
	for _, r := range c.Removed {
		if at, ok := listed[r.ID]; !ok || r.Revision.Before(at) {
			later(r.Revision)
		}
	}
	return since
}
