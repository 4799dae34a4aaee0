package recorder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"samphirewharf/internal/decision/reducer"
)

// A Decision is one decision made during a replay.
type Decision struct {
	Since time.Duration
	// Type is the effect's type name, such as "Dispatch".
	Type   string
	Effect reducer.Effect
}

// Replay passes the events of a recording to a new reducer and reports each decision. An incomplete last line ends the
// replay without an error, since a killed daemon may leave one.
func Replay(r io.Reader, report func(Decision)) error {
	lines := bufio.NewReader(r)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("read recording header: %w", err)
	}
	var header Header
	if err := json.Unmarshal(first, &header); err != nil {
		return fmt.Errorf("decode recording header: %w", err)
	}
	machine := reducer.New(header.Settings)
	for number := 2; ; number++ {
		data, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read line %d: %w", number, err)
		}
		if err := replayLine(machine, data, report); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

func replayLine(machine *reducer.Machine, data []byte, report func(Decision)) error {
	var line Line
	if err := json.Unmarshal(bytes.TrimSpace(data), &line); err != nil {
		return fmt.Errorf("decode line: %w", err)
	}
	event, err := decodeEvent(line)
	if err != nil {
		return err
	}
	for _, effect := range machine.Step(reducer.Moment{Monotonic: line.Since, Wall: line.Wall}, event) {
		if isDecision(effect) {
			report(Decision{Since: line.Since, Type: typeName(effect), Effect: effect})
		}
	}
	return nil
}

// isDecision reports whether an effect is a routing or placement decision, an order, a note, a final response or the
// daemon's exit.
func isDecision(effect reducer.Effect) bool {
	switch effect.(type) {
	case reducer.Dispatch, reducer.Forward, reducer.Refuse, reducer.Answer, reducer.Addresses, reducer.Cancel,
		reducer.PlacementDecided, reducer.SendOrder, reducer.Noted, reducer.Exit:
		return true
	default:
		return false
	}
}
