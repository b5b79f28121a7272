package pool

import "time"

// LimitState tells what a response says about the limit of its server.
type LimitState uint8

// States of limits.
const (
	// LimitUnknown responses say nothing: their value can't be used.
	LimitUnknown LimitState = iota
	// LimitNone responses name no limit.
	LimitNone
	// LimitNamed responses name one.
	LimitNamed
)

// Limit is what a response says about the rate of requests that its server takes from
// all daemons together.
type Limit struct {
	State LimitState
	// Rate is the limit in requests per second, for LimitNamed.
	Rate float64
	// Invalid is the text of a value that is not a usable limit.
	Invalid string
	// SentAt is when the request was sent. The server decided on what it says between
	// then and the arrival of the response.
	SentAt time.Time
}
