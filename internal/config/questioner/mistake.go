package questioner

import (
	"fmt"
	"sort"
	"strings"
)

// maxPrintedValue is the number of bytes after which an invalid value is truncated in a mistake.
const maxPrintedValue = 80

// A Mistake describes an answer that is invalid or missing.
type Mistake struct {
	// Line is the line of the answer, or of the table that lacks it, numbered from 1.
	Line int
	// Name is the path of the answer, such as "Services[0].Kind". Elements are numbered from 0.
	Name string
	// Value is the invalid value as text. It is empty if the answer is missing.
	Value string
	// Accepted describes the accepted values.
	Accepted string
}

// String returns the mistake as one line of text.
func (m Mistake) String() string {
	if m.Value == "" {
		return fmt.Sprintf("line %d: %s is missing or empty; accepted: %s", m.Line, m.Name, m.Accepted)
	}
	return fmt.Sprintf("line %d: %s is %s; accepted: %s", m.Line, m.Name, m.Value, m.Accepted)
}

// A CheckError reports every mistake of a questionnaire.
type CheckError struct {
	// Mistakes are sorted by line, then by name. There is at least one.
	Mistakes []Mistake
}

// Error returns one line for each mistake.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, m := range e.Mistakes {
		lines = append(lines, m.String())
	}
	return strings.Join(lines, "\n")
}

// formatValue returns a value as text of limited length, "" for nil.
func formatValue(value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxPrintedValue {
		text = fmt.Sprintf("%.*q…", maxPrintedValue, text)
	}
	return text
}

// sortMistakes sorts by line, then by name.
func sortMistakes(mistakes []Mistake) {
	sort.SliceStable(mistakes, func(i, j int) bool {
		if mistakes[i].Line != mistakes[j].Line {
			return mistakes[i].Line < mistakes[j].Line
		}
		return mistakes[i].Name < mistakes[j].Name
	})
}
