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
	// chunkBytes is the number of KV bytes that one ExportChunk represents.
	chunkBytes = 4 << 20
	// headerBytes is the size of the header that precedes the prompt in the exported
	// data: the computed tokens and the number of chunks.
	headerBytes = 8
)

// pacer limits the total rate of the transfers on a link. Zero is no limit.
type pacer struct {
	rate uint64
	mu   sync.Mutex
	next time.Time
}

// wait blocks for the time that size bytes take on the link. It returns false if ctx
// ends first.
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

// export sends the KV cache in small chunks, at the rate of a cache of its nominal
// size. The data holds only the prompt, from which the importer derives the answer.
func (e *Engine) export(ctx context.Context, r *wire.ExportRequest, send func(*wire.ExportChunk) error) error {
	if err := e.waitUnfrozen(ctx); err != nil {
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
	} else if n.evictionDue && n.exports == 0 {
		e.drop(n)
	}
	return err
}

// pin finds the KV cache, protects it from eviction during the export, and returns the
// data to send and the nominal size in bytes.
func (e *Engine) pin(r *wire.ExportRequest) (*entry, []byte, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.entries[r.Request]
	if n == nil || n.handle == "" || n.handle != r.Handle || n.decoding {
		return nil, nil, 0, connect.NewError(connect.CodeNotFound,
			fmt.Errorf("no KV cache of request %s with this handle", r.Request))
	}
	n.exports++
	size := uint64(n.tokens) * e.set.TokenBytes
	data := make([]byte, headerBytes, headerBytes+len(n.prompt))
	binary.LittleEndian.PutUint32(data, n.computed)
	binary.LittleEndian.PutUint32(data[4:], uint32(max(1, size/chunkBytes)))
	return n, append(data, n.prompt...), size, nil
}

func (e *Engine) transmit(ctx context.Context, n *entry, data []byte, size uint64,
	send func(*wire.ExportChunk) error) error {
	chunks := int(binary.LittleEndian.Uint32(data[4:]))
	part := max(headerBytes, (len(data)+chunks-1)/chunks)
	for i := range chunks {
		if err := e.waitTransfer(ctx); err != nil {
			return err
		}
		if !e.linkOut.wait(ctx, size/uint64(chunks)) {
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

// release drops an exported KV cache but keeps a reservation. From here on the
// importer counts the computed tokens as used or wasted. The caller holds mu.
func (e *Engine) release(n *entry) {
	n.computed = 0
	n.handle = ""
	if !n.reserved {
		e.drop(n)
	}
}

// importKV pulls a KV cache from another engine into the memory of a reservation.
func (e *Engine) importKV(ctx context.Context, r *wire.ImportRequest) (*wire.ImportReply, error) {
	if err := e.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	n := e.entries[r.Request]
	ready := n != nil && n.handle != ""
	held := n != nil && n.reserved
	e.mu.Unlock()
	if !held {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("request %s has no reservation on this engine", r.Request))
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
			return e.waitReceived(ctx, data, size)
		})
	if err != nil {
		return nil, err
	}
	if err := e.storeImport(n, r.Handle, data); err != nil {
		return nil, err
	}
	return &wire.ImportReply{Bytes: size}, nil
}

// waitReceived blocks for the time that one chunk takes on this engine's link.
func (e *Engine) waitReceived(ctx context.Context, data []byte, size uint64) error {
	if err := e.waitTransfer(ctx); err != nil {
		return err
	}
	if len(data) < headerBytes {
		return connect.NewError(connect.CodeDataLoss, errors.New("exported KV data is shorter than its header"))
	}
	chunks := uint64(max(1, binary.LittleEndian.Uint32(data[4:])))
	if !e.linkIn.wait(ctx, size/chunks) {
		return ctx.Err()
	}
	return nil
}

// storeImport parses imported data and stores it in the entry. It fails if the
// reservation is gone or too small.
func (e *Engine) storeImport(n *entry, handle string, data []byte) error {
	if len(data) < headerBytes {
		return connect.NewError(connect.CodeDataLoss, errors.New("exported KV data is shorter than its header"))
	}
	computed := binary.LittleEndian.Uint32(data)
	prompt := string(data[headerBytes:])
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.entries[n.id] != n || n.handle != "" || n.job != nil || n.decoding {
		e.stats.Wasted += uint64(computed)
		return connect.NewError(connect.CodeAborted, fmt.Errorf("request %s lost its reservation", n.id))
	}
	if !e.grow(n, blocksFor(CountTokens(prompt))) {
		e.stats.Wasted += uint64(computed)
		return connect.NewError(connect.CodeResourceExhausted,
			fmt.Errorf("the reservation of request %s is too small", n.id))
	}
	n.prompt, n.text, n.tokens = prompt, NewText(prompt), CountTokens(prompt)
	n.handle, n.computed = handle, computed
	return nil
}

// pullFrom streams a KV cache from the engine at address source. Each transfer opens a
// new connection, since the fault Silent may have muted an earlier one.
func pullFrom(ctx context.Context, source string, r *wire.ExportRequest,
	recv func(*wire.ExportChunk) error) error {
	// Without the cancel, the stream would stay open after an error of recv.
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
