package acceptor

// A task handles one request of a connection.
type task struct {
	connection *connection
	handle     func()
}

// run calls the handler and releases the connection for the next request.
func (t task) run() {
	defer t.finish()
	t.handle()
}

func (t task) finish() {
	c := t.connection
	if cause := recover(); cause != nil {
		c.server.logger().Error().Any("Cause", cause).Msg("request handler panicked; closing the connection")
		c.abort()
	}
	c.setHandling(false)
	<-c.handlerSlot
}
