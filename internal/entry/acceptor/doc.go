// Package acceptor serves HTTP/1.1 connections with the parser, processor and response of nbhttp.
//
// It doesn't use nbhttp's engine for the connections, because of how the engine (v1.6.8) works:
//
//   - IOModNonBlocking buffers whatever a slow reader doesn't read, without a bound, or closes the connection at
//     MaxWriteBufferSize; it applies no backpressure to a handler. Close discards queued data.
//   - IOModBlocking writes directly to the socket, which applies backpressure to a handler, but it ignores the
//     parser's errors, so that a malformed request gets no response. It also doesn't read while a handler runs, so
//     that it doesn't detect a caller that disconnects.
//   - In both modes, the request's context belongs to the engine and never ends with the connection; one read
//     deadline (KeepaliveTime) covers idle time, a slow sender and a running handler; a body is buffered twice, and
//     handlers share a pool of limited size.
//
// Each connection therefore has its own reading goroutine, as in IOModBlocking, and a second one while a request is
// handled. Writes block until the caller reads, and each write has a timeout.
package acceptor
