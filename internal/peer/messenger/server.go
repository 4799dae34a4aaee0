package messenger

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"samphirewharf/internal/config/cataloger"
)

// A Server takes messages from other daemons. Set the fields before Handler.
type Server struct {
	// Receive takes each message.
	Receive func(Message)
	// Configuration returns the configuration in force, nil if there is none.
	Configuration func() *cataloger.Configuration
}

// Deliver takes a message.
func (s *Server) Deliver(_ context.Context, e *Envelope) (*Delivered, error) {
	s.Receive(e.message())
	return &Delivered{}, nil
}

// FetchConfiguration returns the configuration in force if it is newer than the asker's.
func (s *Server) FetchConfiguration(_ context.Context, r *ConfigurationRequest) (*ConfigurationReply, error) {
	configuration := s.Configuration()
	if configuration == nil || configuration.Version <= r.GetHaveVersion() {
		return &ConfigurationReply{}, nil
	}
	data, err := encodeConfiguration(configuration)
	if err != nil {
		return nil, err
	}
	return &ConfigurationReply{Version: configuration.Version, GzipJson: data}, nil
}

// Handler returns the handler of requests below /twirp/.
func (s *Server) Handler() http.Handler { return NewMessengerServer(s) }

func encodeConfiguration(c *cataloger.Configuration) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(c); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return buffer.Bytes(), nil
}
