// Package filter removes header fields that must not be forwarded.
package filter

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop header fields (RFC 9110, section 7.6.1), and fields that are set for each connection.
var hopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without hop-by-hop fields.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, named := range header["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}
