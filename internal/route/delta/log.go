package delta

import "citronrock.example/citronrock/internal/route/config"

// Bounds of a log.
const (
	maxSteps   = 64
	maxChanges = 2000
)

// Log keeps how the newest versions of the configuration differ from the ones before
// them, so that a daemon with one of these can be brought up to date by a patch. It holds
// maxSteps versions and maxChanges changes at most.
type Log struct {
	steps []*Patch
	size  int
}

// Add appends the step from an older document to a newer one. Without a patch between
// them the log starts again.
func (l *Log) Add(older, newer *config.Document) {
	p := Diff(older, newer)
	if p == nil || p.Size() > maxChanges {
		l.steps, l.size = nil, 0
		return
	}
	l.AddPatch(older.Version, p)
}

// AddPatch appends a step that was made by applying a patch to a version.
func (l *Log) AddPatch(version uint64, applied *Patch) {
	step := *applied
	p := &step
	p.Base = version
	if len(l.steps) > 0 && l.steps[len(l.steps)-1].Version != p.Base {
		l.steps, l.size = nil, 0
	}
	l.steps = append(l.steps, p)
	l.size += p.Size()
	for len(l.steps) > maxSteps || l.size > maxChanges {
		l.size -= l.steps[0].Size()
		l.steps = l.steps[1:]
	}
}

// Since returns the patch from a version to the newest one, or nil if the log doesn't
// reach back that far.
func (l *Log) Since(version uint64) *Patch {
	var out *Patch
	for i := len(l.steps) - 1; i >= 0; i-- {
		out = prepend(l.steps[i], out)
		if out.Base <= version {
			if version < out.Version {
				return out
			}
			return nil
		}
	}
	return nil
}

// Recent returns the patch to the newest version from the oldest one that needs no more
// than limit changes, or nil if the last step alone has more.
func (l *Log) Recent(limit int) *Patch {
	var out *Patch
	for i := len(l.steps) - 1; i >= 0; i-- {
		next := prepend(l.steps[i], out)
		if next.Size() > limit {
			break
		}
		out = next
	}
	return out
}

// prepend returns the patch of a step and then of the patch that follows it, nil for
// none.
func prepend(step, next *Patch) *Patch {
	if next == nil {
		return step
	}
	return step.merge(next)
}
