package flow_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/peer"
)

// TestNoUsableEngine guards against a request that waits until its deadline although it may
// no longer use any engine.
func TestNoUsableEngine(t *testing.T) {
	for name, c := range map[string]struct {
		reason string
		most   time.Duration
		ends   bool
	}{
		"no engine left": {"backend", 5 * time.Second, true},
		"no room":        {"overload", 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			d := s.decode("r", "drafts")
			s.step(event.Ended{Request: "r", Engine: d.Engine, Stream: 1, Fault: event.FaultFailed})
			var answers []event.Answer
			for waited := time.Duration(0); waited < c.most && len(answers) == 0; waited += 50 * time.Millisecond {
				if asks := find[event.SendAsk](s.out); len(asks) > 0 {
					s.step(event.Granted{Grant: &peer.Grant{Request: "r", After: 500, Reason: c.reason}})
				} else {
					s.wait(50 * time.Millisecond)
				}
				answers = append(answers, find[event.Answer](s.out)...)
			}
			if ended := len(answers) > 0; ended != c.ends {
				t.Fatalf("answers %+v within %v", answers, c.most)
			}
			if c.ends && (answers[0].Kind != 3 || answers[0].Reason != "backend" || answers[0].After == 0) {
				t.Errorf("answer %+v", answers[0])
			}
		})
	}
}
