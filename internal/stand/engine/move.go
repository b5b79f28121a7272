package engine

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/stand/serve"
	wire "citronrock.example/citronrock/internal/wire/engine"
)

const (
	// chunk is the number of KV bytes that one ExportChunk stands for.
	chunk = 4 << 20
	// header precedes the prompt in the exported data: the computed tokens and
	// the number of chunks.
	header = 8
)

// pacer shares a link's rate between transfers.
type pacer struct {
	rate uint64
	mu   sync.Mutex
	next time.Time
}

// wait returns when size bytes have passed the link.
func (p *pacer) wait(ctx context.Context, size uint64) bool {
	if p.rate == 0 {
		return ctx.Err() == nil
	}
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(size) / float64(p.rate) * float64(time.Second)))
	due := p.next
	p.mu.Unlock()
	return sleep(ctx, due.Sub(now))
}

// export sends the KV cache in small chunks at the pace of its stated size. The
// data holds the prompt, from which the receiver derives the answer.
func (e *Engine) export(ctx context.Context, r *wire.ExportRequest, send func(*wire.ExportChunk) error) error {
	if err := e.gate(ctx); err != nil {
		return err
	}
	n, data, size, err := e.pin(r)
	if err != nil {
		return err
	}
	err = e.transmit(ctx, n, data, size, send)
	e.mu.Lock()
	defer e.mu.Unlock()
	n.exports--
	if e.entries[r.Request] != n || n.handle != r.Handle {
		return err
	}
	if err == nil {
		e.release(n)
	} else if n.due && n.exports == 0 {
		e.drop(n)
	}
	return err
}

// pin finds the KV cache and protects it from eviction.
func (e *Engine) pin(r *wire.ExportRequest) (*entry, []byte, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.entries[r.Request]
	if n == nil || n.handle == "" || n.handle != r.Handle || n.decoding {
		return nil, nil, 0, connect.NewError(connect.CodeNotFound,
			fmt.Errorf("no KV cache of request %s is kept", r.Request))
	}
	n.exports++
	size := uint64(n.tokens) * e.set.TokenBytes
	data := make([]byte, header, header+len(n.prompt))
	binary.LittleEndian.PutUint32(data, n.computed)
	binary.LittleEndian.PutUint32(data[4:], uint32(max(1, size/chunk)))
	return n, append(data, n.prompt...), size, nil
}

func (e *Engine) transmit(ctx context.Context, n *entry, data []byte, size uint64,
	send func(*wire.ExportChunk) error) error {
	chunks := int(binary.LittleEndian.Uint32(data[4:]))
	part := max(header, (len(data)+chunks-1)/chunks)
	for i := range chunks {
		if err := e.flowing(ctx); err != nil {
			return err
		}
		if !e.out.wait(ctx, size/uint64(chunks)) {
			return ctx.Err()
		}
		e.mu.Lock()
		here := e.entries[n.id] == n
		e.mu.Unlock()
		if !here {
			return connect.NewError(connect.CodeAborted, fmt.Errorf("request %s was cancelled", n.id))
		}
		c := &wire.ExportChunk{Data: data[min(len(data), i*part):min(len(data), (i+1)*part)]}
		if i == 0 {
			c.Size = size
		}
		if err := send(c); err != nil {
			return err
		}
	}
	return nil
}

// release gives up an exported KV cache; a reservation stays. The importer
// accounts for the use of the computed tokens from now on. The caller holds mu.
func (e *Engine) release(n *entry) {
	n.computed = 0
	n.handle = ""
	if !n.slot {
		e.drop(n)
	}
}

// importKV pulls a KV cache into the memory of a reservation.
func (e *Engine) importKV(ctx context.Context, r *wire.ImportRequest) (*wire.ImportReply, error) {
	if err := e.gate(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	n := e.entries[r.Request]
	ready := n != nil && n.handle != ""
	held := n != nil && n.slot
	e.mu.Unlock()
	if !held {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("request %s has no reservation here", r.Request))
	}
	if ready {
		return &wire.ImportReply{}, nil
	}
	var data []byte
	var size uint64
	err := e.pull(ctx, r.Source, &wire.ExportRequest{Request: r.Request, Handle: r.Handle},
		func(c *wire.ExportChunk) error {
			if c.Size > 0 {
				size = c.Size
			}
			data = append(data, c.Data...)
			return e.receive(ctx, data, size)
		})
	if err != nil {
		return nil, err
	}
	if err := e.accept(n, r.Handle, data); err != nil {
		return nil, err
	}
	return &wire.ImportReply{Bytes: size}, nil
}

// receive waits until the link of this engine has passed one chunk.
func (e *Engine) receive(ctx context.Context, data []byte, size uint64) error {
	if err := e.flowing(ctx); err != nil {
		return err
	}
	if len(data) < header {
		return connect.NewError(connect.CodeDataLoss, errors.New("the exported data is too short"))
	}
	chunks := uint64(max(1, binary.LittleEndian.Uint32(data[4:])))
	if !e.in.wait(ctx, size/chunks) {
		return ctx.Err()
	}
	return nil
}

// accept stores imported data in the entry.
func (e *Engine) accept(n *entry, handle string, data []byte) error {
	if len(data) < header {
		return connect.NewError(connect.CodeDataLoss, errors.New("the exported data is too short"))
	}
	computed := binary.LittleEndian.Uint32(data)
	prompt := string(data[header:])
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.entries[n.id] != n || n.handle != "" || n.job != nil || n.decoding {
		e.count.Wasted += uint64(computed)
		return connect.NewError(connect.CodeAborted, fmt.Errorf("request %s lost its reservation", n.id))
	}
	if !e.grow(n, memory(CountTokens(prompt))) {
		e.count.Wasted += uint64(computed)
		return connect.NewError(connect.CodeResourceExhausted,
			fmt.Errorf("the reservation of request %s is too small", n.id))
	}
	n.prompt, n.text, n.tokens = prompt, NewText(prompt), CountTokens(prompt)
	n.handle, n.computed = handle, computed
	return nil
}

// pullFrom streams a KV cache from the engine at address source. Each transfer
// has a connection of its own, since an earlier one may be silent.
func pullFrom(ctx context.Context, source string, r *wire.ExportRequest,
	recv func(*wire.ExportChunk) error) error {
	// Ends the stream also when recv fails.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, idle := serve.Client()
	defer idle()
	s, err := wire.NewEngineClient(client, "http://"+source).Export(ctx, connect.NewRequest(r))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		if err := recv(s.Msg()); err != nil {
			return err
		}
	}
	return s.Err()
}
