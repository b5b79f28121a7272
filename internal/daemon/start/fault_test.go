package start_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
	"citronrock.example/citronrock/internal/wire/caller"
)

// startAnswers starts n long answers at daemon 0 and returns when each has a token.
// The returned function waits for the answers and checks that they are complete.
func (f *fleet) startAnswers(n int, limit uint32) (wait func()) {
	var all, begun sync.WaitGroup
	begun.Add(n)
	for i := range n {
		prompt := strings.Repeat("damage report ", 300+i)
		want, _ := engine.Answer(prompt, limit)
		all.Go(func() {
			var once sync.Once
			text, _, err := f.generate(context.Background(), 0,
				&caller.GenerateRequest{Head: head("taalpost"), Prompt: prompt, Max: limit},
				func(uint32) { once.Do(begun.Done) })
			once.Do(begun.Done)
			if err != nil || text != want {
				f.t.Errorf("answer %d: %d of %d bytes, %v", i, len(text), len(want), err)
				f.logStatus()
			}
		})
	}
	begun.Wait()
	return all.Wait
}

// Guards against answers that are truncated, have duplicate tokens or never end when
// a connection or an engine fails, and against reservations that are not released.
func TestAnswersSurviveEngineFaults(t *testing.T) {
	cases := map[string]func(f *fleet){
		"silent connections": func(f *fleet) {
			f.setFault(f.engines[1].Addr(), `{"silent":true}`)
			f.setFault(f.engines[2].Addr(), `{"silent":true}`)
		},
		"engine frozen for a while": func(f *fleet) {
			f.engines[1].SetFault(engine.Fault{Freeze: true})
			time.AfterFunc(1500*time.Millisecond, func() { f.engines[1].SetFault(engine.Fault{}) })
		},
		"decode engine dies": func(f *fleet) {
			f.must(f.engines[1].Close())
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			wait := f.startAnswers(6, 600)
			fault(f)
			wait()
			f.await("release of all memory", func() bool { return f.held() == 0 })
		})
	}
}

// Guards against a stalled KV transfer that blocks a request forever.
func TestStalledTransfer(t *testing.T) {
	f := newFleet(t, 2)
	f.engines[0].SetFault(engine.Fault{Stall: true})
	time.AfterFunc(time.Second, func() { f.engines[0].SetFault(engine.Fault{}) })
	prompt := strings.Repeat("rental history ", 3000)
	want, _ := engine.Answer(prompt, 10)
	text, _, err := f.generate(context.Background(), 0, &caller.GenerateRequest{Head: head("taalpost"), Prompt: prompt, Max: 10}, nil)
	if err != nil || text != want {
		t.Errorf("got %q, %v; want %q", text, err, want)
	}
	f.await("release of all memory", func() bool { return f.held() == 0 })
}

// Guards against an order that runs twice or ends as unknown because an idle
// connection has stalled.
func TestOrdersThroughSilentConnections(t *testing.T) {
	f := newFleet(t, 2)
	order := func(i int, body string) (*caller.CallReply, error) {
		resp, err := f.router(i).Call(context.Background(), connect.NewRequest(
			&caller.CallRequest{Head: head("bestelbalie"), Path: "/order", Body: []byte(body)}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}
	for i := range 8 {
		if _, err := order(i%2, "warm"+string(rune('a'+i))); err != nil {
			t.Fatal(err)
		}
	}
	f.setFault(f.server.Addr(), `{"silent":true}`)
	for i := range 20 {
		body := "reel " + string(rune('a'+i))
		reply, err := order(i%2, body)
		if err != nil {
			t.Errorf("order %d: %v", i, err)
			continue
		}
		if want := plain.Answer("/order", []byte(body)); string(reply.Body) != string(want) {
			t.Errorf("order %d was answered with %q, want %q", i, reply.Body, want)
		}
	}
	for sum, n := range f.server.Runs().Paths["/order"] {
		if n != 1 {
			t.Errorf("order %s ran %d times", sum, n)
		}
	}
}

// Guards against a non-idempotent call that is retried, or reported as not run, when
// the response is lost after the run.
func TestOrderWithLostAnswerIsUnknown(t *testing.T) {
	f := newFleet(t, 1)
	f.setFault(f.server.Addr(), `{"drop":true}`)
	_, err := f.router(0).Call(context.Background(), connect.NewRequest(
		&caller.CallRequest{Head: head("bestelbalie"), Path: "/order", Body: []byte("reel")}))
	if fail := failure(t, err); fail.Kind != caller.Failure_UNKNOWN {
		t.Errorf("failure %v, want unknown", fail)
	}
	if n := f.server.Runs().Paths["/order"][plain.Sum("/order", []byte("reel"))]; n != 1 {
		t.Errorf("the order ran %d times, want 1", n)
	}
}

// Guards against a request that crashes every engine that runs it. It must be blocked
// after two engines at most.
func TestPoisonedRequestIsBounded(t *testing.T) {
	var lost atomic.Int32
	var f *fleet
	f = newFleetOf(t, 2, []string{"prefill", "prefill", "prefill", "prefill", "decode"}, func(i int, s *engine.Settings) {
		s.Poison = "broken lace"
		s.Crash = func() {
			lost.Add(1)
			go func() { _ = f.engines[i].Close() }()
		}
	})
	refused := false
	for i := range 8 {
		_, _, err := f.generate(context.Background(), i%2, &caller.GenerateRequest{
			Head: head("taalpost"), Prompt: "a broken lace " + strings.Repeat("z", 100), Max: 5,
		}, nil)
		if err == nil {
			t.Fatal("the request did not crash an engine")
		}
		refused = failure(t, err).Reason == "suspect"
	}
	if n := lost.Load(); n > 2 {
		t.Errorf("one request crashed %d engines, want at most 2", n)
	}
	if !refused {
		t.Error("the request is not refused as suspect")
	}
	text, _, err := f.generate(context.Background(), 0, &caller.GenerateRequest{Head: head("taalpost"), Prompt: "sound lace", Max: 5}, nil)
	if want, _ := engine.Answer("sound lace", 5); err != nil || text != want {
		t.Errorf("another request got %q, %v; want %q", text, err, want)
	}
}
