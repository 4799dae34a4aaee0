// Package filter leaves out header fields that must not be passed on.
package filter

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1), or are set anew.
var hopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header fields that are passed on.
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
