package streamer

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// lineEnd is a line ending of event streams as https://html.spec.whatwg.org/multipage/server-sent-events.html defines it.
var lineEnd = regexp.MustCompile("\r\n|\n|\r")

// dispatchedIDs returns the last event ID with which a reader of event streams dispatches each event of a text.
func dispatchedIDs(text string) []string {
	var ids []string
	id, data := "", false
	for _, line := range lineEnd.Split(strings.TrimPrefix(text, "\ufeff"), -1) {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if data {
				ids = append(ids, id)
			}
			data = false
		case name == "data":
			data = true
		case name == "id" && !strings.Contains(value, "\x00"):
			id = value
		}
	}
	return ids
}

// FuzzEventReader guards against blocks that callers read as other events than the daemon does, which then passes on more events, or
// others, than it has checked.
func FuzzEventReader(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\rid: 9\ndata: b\n\n", "id: 1\nid: 2\ndata: a\n\n", "id: 1\n\n",
		": comment\n\nid: 1\ndata: a\n\n", "\ufeffid: 1\ndata: a\n\n", "id: 1\x00\ndata: a\n\n", "data\n\n", "id: 1\ndata: a\n\nodd", "\r\r\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := NewEventReader(bytes.NewReader(text))
		var passed bytes.Buffer
		var want []string
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			if !event.HasID || !event.HasData {
				continue
			}
			passed.Write(event.Raw)
			want = append(want, strconv.Itoa(event.ID))
		}
		if got := dispatchedIDs(passed.String()); strings.Join(got, " ") != strings.Join(want, " ") {
			t.Errorf("got IDs %q at a caller, want %q as read from %q", got, want, text)
		}
	})
}
