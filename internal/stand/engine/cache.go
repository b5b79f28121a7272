package engine

import "container/list"

// cache is the prefix cache: the hashes of KV blocks, with LRU eviction.
type cache struct {
	limit int
	order *list.List
	index map[uint64]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

// longest returns the number of leading KV blocks that are cached and marks them as
// recently used.
func (c *cache) longest(pieces []uint64) uint32 {
	var n uint32
	for _, p := range pieces {
		el, ok := c.index[p]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		n++
	}
	return n
}

// add stores the KV blocks and returns those that are new and those that were
// evicted. A block that is already cached becomes the most recently used.
func (c *cache) add(pieces []uint64) (stored, removed []uint64) {
	if c.limit <= 0 {
		return nil, nil
	}
	for _, p := range pieces {
		if el, ok := c.index[p]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.index[p] = c.order.PushFront(p)
		stored = append(stored, p)
	}
	for c.order.Len() > c.limit {
		p := c.order.Remove(c.order.Back()).(uint64)
		delete(c.index, p)
		removed = append(removed, p)
	}
	return stored, removed
}
