// Package recorder records a reducer's events in a file and replays such a file.
package recorder

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"samphirewharf/internal/decision/reducer"
)

// A Header is the first line of a recording.
type Header struct {
	// Settings are the settings of the reducer that processed the events.
	Settings reducer.Settings
}

// A Line is one recorded event.
type Line struct {
	Since time.Duration
	Wall  time.Time
	// Type is the event's type name, such as "RequestArrived".
	Type  string
	Event json.RawMessage
}

// A Recorder writes a recording. Only the driver's loop may use it.
type Recorder struct {
	encoder *json.Encoder
	err     error
}

// New writes the header and returns a recorder.
func New(w io.Writer, settings reducer.Settings) (*Recorder, error) {
	r := &Recorder{encoder: json.NewEncoder(w)}
	if err := r.encoder.Encode(Header{Settings: settings}); err != nil {
		return nil, fmt.Errorf("write recording header: %w", err)
	}
	return r, nil
}

// Err returns the error that ended the recording, nil if there was none.
func (r *Recorder) Err() error { return r.err }

// Record writes an event. After an error it does nothing.
func (r *Recorder) Record(now reducer.Moment, event reducer.Event, _ []reducer.Effect) {
	if r.err != nil {
		return
	}
	encoded, err := json.Marshal(event)
	if err != nil {
		r.err = fmt.Errorf("encode event: %w", err)
		return
	}
	line := Line{Since: now.Monotonic, Wall: now.Wall, Type: typeName(event), Event: encoded}
	if err := r.encoder.Encode(line); err != nil {
		r.err = fmt.Errorf("write event: %w", err)
	}
}
