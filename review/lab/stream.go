package lab

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// NewID returns the ID of a client attempt.
func NewID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// Stream is one generation as a client gets it, over its tries.
type Stream struct {
	Tries  []string
	Events []Event
	// FirstTry is the number of events of the first try.
	FirstTry int
	// Status is the last status, 0 for none.
	Status int
	Whole  bool
}

// Tokens is the length of the prompts of streams.
var Tokens = 5200

// Generate asks a router for a stream of n events. If that breaks, it takes the stream up at
// another one, once.
func Generate(rec *Record, at []*Router, host, path string, n int, limit time.Duration) *Stream {
	end := time.Now().Add(limit)
	s := &Stream{}
	prompt := NewID()[:8]
	for try := range 2 {
		id := NewID()
		s.Tries = append(s.Tries, id)
		left := time.Until(end)
		head := []string{"POST " + path + " HTTP/1.1", "Host: " + host, "Attempt-Id: " + id, "Model: m", fmt.Sprintf("Token-Usage: %d,%d", Tokens, n),
			fmt.Sprintf("Prompt-Prefix: 5c1e07a2:200,%s:%d", prompt, Tokens-200), fmt.Sprint("Deadline-Milliseconds: ", left.Milliseconds())}
		if len(s.Events) > 0 {
			head = append(head, "Last-Event-Id: "+s.Events[len(s.Events)-1].ID, "Resumes: "+s.Tries[0])
		}
		rec.Add("client sends %s to %s, events so far %d", id, at[try].Name, len(s.Events))
		a := Call(at[try].Front, head, fmt.Sprintf("prompt %s", prompt), left)
		s.Status, s.Whole = a.Status, a.Whole
		s.Events = append(s.Events, a.Events...)
		if try == 0 {
			s.FirstTry = len(a.Events)
		}
		rec.Add("client got %s: status %d, %d events, whole %v, error %v", id, a.Status, len(a.Events), a.Whole, a.Err)
		if a.Whole && a.Status == 200 {
			return s
		}
		if time.Until(end) < time.Second {
			break
		}
		if after := a.Header.Get("Retry-After"); after != "" {
			if wait, err := time.ParseDuration(after + "s"); err == nil {
				time.Sleep(min(wait, time.Until(end)/3))
			}
		}
	}
	return s
}

// Versions returns the software versions whose engines made the events.
func (s *Stream) Versions() map[string]int {
	out := map[string]int{}
	for _, e := range s.Events {
		out[e.Version]++
	}
	return out
}

// ModelConfig is a configuration with one service of model engines and one route to it, whose
// streams may be resumed.
func ModelConfig(host, service string) map[string]any {
	return map[string]any{"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "host": host, "path_prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 14000,
			"target_latency_ms": 900, "priority": 1, "service": service, "max_attempts": 2, "session_affinity": true, "allow_resume": true, "target_gap_ms": 300}},
		"services": []any{map[string]any{"name": service, "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 100125, "kv_token_bytes": 18432, "link_mbps": 2900000.0, "moves": true, "backups": true,
				"stride": 1, "most": 12, "handle_retention_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}
