package messenger

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
)

// PathPrefix is the path prefix under which daemons receive messages.
const PathPrefix = "/twirp"

// A Server receives the messages of other daemons.
type Server struct {
	// Receive is called with each message, by several goroutines concurrently.
	Receive func(Message)
	// Configuration returns the version in force and, if it is newer than the given one, the chunks of the
	// configuration; version 0 means that there is none.
	Configuration func(haveVersion int64) (version int64, chunks [][]byte)
}

// Deliver receives one message.
func (s *Server) Deliver(_ context.Context, envelope *Envelope) (*Empty, error) {
	s.Receive(envelope.Message())
	return &Empty{}, nil
}

// FetchConfiguration returns the configuration in force, without chunks if the caller's version is not older.
func (s *Server) FetchConfiguration(_ context.Context, request *ConfigurationRequest) (*ConfigurationReply, error) {
	version, chunks := s.Configuration(request.GetHaveVersion())
	return &ConfigurationReply{Version: version, Chunks: chunks}, nil
}

// Handler returns the HTTP handler to mount at PathPrefix.
func (s *Server) Handler() http.Handler {
	return NewMessengerServer(s, twirp.WithServerPathPrefix(PathPrefix))
}
