package admit

import (
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/wire/peer"
)

// TestSuspectShutsNoCell guards against one suspect request, whose refusal lasts
// for minutes, that stops all other requests of its cell.
func TestSuspectShutsNoCell(t *testing.T) {
	g := newGate()
	suspect := request("free", "drafts", 5, time.Minute)
	g.Sent("drafts1", suspect)
	g.Answered(start, "drafts1", suspect, &peer.Grant{
		Reason: string(citronrock.ReasonSuspect), After: uint32((10 * time.Minute).Milliseconds()),
	})
	g.Arrive(start, request("free", "drafts", 5, time.Minute))
	if _, ok := g.Next(start); !ok {
		t.Error("another request has to wait")
	}
}
