// Package acceptor serves HTTP/1.1 connections with the parser, processor and response of nbhttp.
//
// nbhttp's engine doesn't drive the connections, because of what its source (v1.6.8) does:
//
//   - IOModNonBlocking keeps whatever a slow reader doesn't take in memory without a bound, or closes the
//     connection at MaxWriteBufferSize; it never holds a handler back. Close drops what is still queued.
//   - IOModBlocking writes straight to the socket, which holds a handler back, but it ignores the parser's
//     errors, so that a malformed request gets no answer, and it reads nothing while a handler runs, so that a
//     caller who leaves isn't noticed.
//   - In both, the request's context is the engine's and never ends with the connection; one read deadline
//     (KeepaliveTime) covers idle time, a slow sender and a running handler alike; a body is held twice, and
//     handlers share a pool of limited size.
//
// So a connection has its own reading goroutine, as in IOModBlocking, and a second one while a request is
// handled. Writes block until the caller reads, with a limit on the time that one write may take.
package acceptor
