package pool

import (
	"cmp"
	"fmt"
)

// Revision is a revision of the platform's store. A store that is restored from an
// older copy issues the same numbers again, in an era that is higher by one.
type Revision struct {
	Era, Number uint64
}

// Compare returns a negative number, zero or a positive number if r is older than,
// equal to or newer than other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r stands for a store that was not read yet.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the form that logs use: era/number, or the number alone if the
// store reports no era.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

// MarshalText returns the form of String, for logs and the status page.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
