package pool

import (
	"cmp"
	"fmt"
)

// Revision is a version of the platform's store. A store that comes back from an
// older copy gives out numbers again, in an era that is higher by one.
type Revision struct {
	Era, Number uint64
}

// Compare returns a number below, at or above zero if r is older than, the same
// as or newer than other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before tells whether r is older than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero tells whether nothing has been read yet.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the form that logs use: the number, after the era where the
// store has told one.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

// MarshalText returns the form that logs and status use.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
