package responder

import "github.com/cespare/xxhash/v2"

const (
	// firstPrefixBytes is the length of the shortest prompt prefix that is hashed. Each further prefix is twice as
	// long.
	firstPrefixBytes = 256
	// maxPrefixes bounds the number of hashed prefixes of one prompt.
	maxPrefixes = 8
)

// prefixes returns the hashes of a prompt's prefixes, shortest first. The hashes include the model, since models share
// no cache.
func prefixes(request modelRequest) []uint64 {
	h := prefixHasher{next: firstPrefixBytes, digest: xxhash.New()}
	_, _ = h.digest.WriteString(request.Model + "\x00")
	h.write(request.Prompt)
	for _, message := range request.Messages {
		h.write([]byte(message.Role + "\x00"))
		h.write(message.Content)
	}
	return h.hashes
}

// A prefixHasher hashes a text and records the hash at each prefix boundary.
type prefixHasher struct {
	digest *xxhash.Digest
	// length is the number of prompt bytes hashed so far, next the length of the next prefix.
	length int
	next   int
	hashes []uint64
}

func (h *prefixHasher) write(p []byte) {
	for len(p) > 0 && len(h.hashes) < maxPrefixes {
		part := p[:min(len(p), h.next-h.length)]
		_, _ = h.digest.Write(part)
		h.length += len(part)
		p = p[len(part):]
		if h.length == h.next {
			h.hashes = append(h.hashes, h.digest.Sum64())
			h.next *= 2
		}
	}
}
