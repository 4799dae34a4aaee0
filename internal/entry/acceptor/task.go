package acceptor

import "samphirewharf/internal/network/bounder"

// A task handles one request of a connection.
type task struct {
	connection *connection
	handle     func()
	// hold is what the body takes up.
	hold bounder.Hold
}

// run calls the handler and releases the connection for the next request.
func (t *task) run() {
	defer t.finish()
	t.handle()
}

func (t *task) finish() {
	c := t.connection
	t.hold.Release()
	if cause := recover(); cause != nil {
		c.server.logger().Error().Any("Cause", cause).Msg("request handler panicked; closing the connection")
		c.abort()
	}
	c.setHandling(false)
	<-c.handlerSlot
}
