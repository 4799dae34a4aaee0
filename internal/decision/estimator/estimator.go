// Package estimator estimates how much of a prompt a server has cached.
package estimator

// maxParts bounds the parts that are remembered for each server.
const maxParts = 2048

// A Part is a part of a prompt that may be a prefix shared with other prompts.
type Part struct {
	ID     uint64
	Tokens int
}

// Parts records which parts of prompts a server has processed recently and is likely to have cached. The zero value is ready to use.
type Parts struct {
	// at holds for each part the value of clock when the server last processed it; clock counts processed parts.
	at    map[uint64]int64
	clock int64
}

// CachedShare returns the share of the prompt that the server is likely to have cached, from 0 to 1.
func (c *Parts) CachedShare(parts []Part) float64 {
	total, cached := 0, 0
	contiguous := true
	for _, p := range parts {
		total += p.Tokens
		if _, ok := c.at[p.ID]; ok && contiguous {
			cached += p.Tokens
		} else {
			contiguous = false
		}
	}
	if total == 0 {
		return 0
	}
	return float64(cached) / float64(total)
}

// Add records that the server processes the parts of a prompt.
func (c *Parts) Add(parts []Part) {
	if c.at == nil {
		c.at = make(map[uint64]int64)
	}
	for _, p := range parts {
		c.clock++
		c.at[p.ID] = c.clock
	}
	if len(c.at) <= maxParts {
		return
	}
	for id, at := range c.at {
		if at < c.clock-maxParts/2 {
			delete(c.at, id)
		}
	}
}
