package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Event is one event of a stream as a client got it.
type Event struct {
	ID            string
	Attempt       string
	Engine        string
	Version       string
	Last          bool
	TryOfReceiver string
}

// Answer is what a client got on one channel.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Events []Event
	// Whole is set if the answer came with its end.
	Whole bool
	Err   error
}

// Call sends a request, its head lines without their ends, on a new channel, and reads the
// answer until its end or a time limit.
func Call(to string, head []string, body string, limit time.Duration) *Answer {
	a := &Answer{}
	conn, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit)) // connections of net have one
	if len(body) > 0 {
		head = append(head, fmt.Sprint("Content-Length: ", len(body)))
	}
	if _, a.Err = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"+body); a.Err != nil {
		return a
	}
	method, _, _ := strings.Cut(head[0], " ")
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(resp.Body)
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.Body, a.Whole, a.Err = string(text), err == nil, err
	return a
}

func (a *Answer) readEvents(r io.Reader) {
	in := bufio.NewReader(r)
	var e Event
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			a.Whole = errors.Is(err, io.EOF) && line == "" && e == Event{}
			a.Err = err
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			e.ID = line[4:]
		case strings.HasPrefix(line, "data: "):
			f := strings.Fields(line[6:])
			if len(f) >= 3 {
				e.Attempt, e.Engine, e.Version, e.Last = f[0], f[1], f[2], len(f) > 3
			}
		case line == "" && e != Event{}:
			a.Events = append(a.Events, e)
			e = Event{}
		}
	}
}
