package serve_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/config"
)

// Guards against requests on new or kept connections, or in flight, that are lost when
// limits change.
func TestLimitChangesLoseNothing(t *testing.T) {
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Errorf("body of %s: %v", r.URL.Path, err)
		}
		time.Sleep(3 * time.Millisecond)
		_, _ = w.Write(body)
	})
	end := time.Now().Add(2 * time.Second)
	var all sync.WaitGroup
	all.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			s.SetLimits(config.Limits{Header: 4096 + i, Body: 1024 + i, HeaderWait: time.Second, Idle: time.Minute})
			time.Sleep(time.Duration(i%4) * time.Millisecond)
		}
	})
	for i := range 40 {
		kept := i%2 == 0
		all.Go(func() {
			c := dial(t, addr)
			for n := 0; time.Now().Before(end); n++ {
				if !kept && n > 0 {
					c.conn.Close()
					c = dial(t, addr)
				}
				const text = "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
				c.send(text[:n%len(text)]) // the rest follows, so that parts of requests cross the change
				time.Sleep(time.Millisecond)
				c.send(text[n%len(text):])
				if got, err := c.get(); err != nil || got.status != http.StatusOK || got.last {
					t.Errorf("request %d, connection kept %v: %+v %v", n, kept, got, err)
					return
				}
			}
		})
	}
	all.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.Stop(ctx, 0)
}
