package responder

import "github.com/cespare/xxhash/v2"

const (
	// firstPrefixBytes is the length of the shortest prompt prefix that is hashed; each next one is twice as long.
	firstPrefixBytes = 256
	// maxPrefixes bounds the prefixes of one prompt.
	maxPrefixes = 8
)

// prefixes returns the hashes of a prompt's growing prefixes, shortest first. They differ between models, since these
// share no cache.
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

// A prefixHasher hashes a text and notes the hash at each boundary.
type prefixHasher struct {
	digest *xxhash.Digest
	// length is how many bytes of the prompt were written, next the length of the next prefix.
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
