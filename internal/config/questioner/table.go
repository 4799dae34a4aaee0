package questioner

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Formats of names in answers.
const (
	maxNameLength  = 100
	acceptedName   = "a name of up to 100 lower-case letters, digits, '-' and '.', with a letter or digit first"
	acceptedHeader = "an HTTP header name"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9!#$%&'*+.^_|~-]{1,64}$`)
	sizePattern   = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?) ?(KB|MB|GB|TB|KiB|MiB|GiB|TiB)$`)
)

// sizeUnits are the bytes of each unit of size.
var sizeUnits = map[string]float64{
	"KB": 1e3, "MB": 1e6, "GB": 1e9, "TB": 1e12,
	"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40,
}

// A table reads the answers of one TOML table and records mistakes. A method that reads an answer returns
// a placeholder after it has recorded a mistake, so that the remaining answers are checked too.
type table struct {
	document *document
	path     string
	values   map[string]any
	// knownNames are the names that a question exists for.
	knownNames map[string]bool
}

func newTable(d *document, path string, values map[string]any) *table {
	return &table{document: d, path: path, values: values, knownNames: make(map[string]bool)}
}

// pathOf returns the path of an answer.
func (t *table) pathOf(name string) string { return joinPath(t.path, name) }

// boolean returns a boolean. The answer is required.
func (t *table) boolean(name string) bool {
	value, _ := t.lookUp(name)
	b, ok := value.(bool)
	if !ok {
		t.reject(name, "true or false")
	}
	return b
}

// duration returns a duration from minimum to maximum.
func (t *table) duration(name string, minimum, maximum time.Duration) time.Duration {
	value, _ := t.lookUp(name)
	text, _ := value.(string)
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum || d > maximum {
		t.reject(name, fmt.Sprintf("a duration from %v to %v, such as \"1m30s\"", minimum, maximum))
		return minimum
	}
	return d
}

// rejectUnknown records a mistake for each answer that no question exists for.
func (t *table) rejectUnknown() {
	var unknown []string
	for name := range t.values {
		if !t.knownNames[name] {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	var known []string
	for name := range t.knownNames {
		known = append(known, name)
	}
	sort.Strings(known)
	for _, name := range unknown {
		t.reject(name, "no such answer, but one of "+strings.Join(known, ", "))
	}
}

// forbid records a mistake if an answer is given that doesn't apply because of another one.
func (t *table) forbid(name, reason string) {
	if _, ok := t.lookUp(name); ok {
		t.reject(name, "no answer, because "+reason)
	}
}

// float returns a number from minimum to maximum.
func (t *table) float(name string, minimum, maximum float64) float64 {
	value, _ := t.lookUp(name)
	f, ok := value.(float64)
	if n, isInteger := value.(int64); isInteger {
		f, ok = float64(n), true
	}
	if !ok || !(f >= minimum && f <= maximum) {
		t.reject(name, fmt.Sprintf("a number from %v to %v", minimum, maximum))
		return minimum
	}
	return f
}

// has reports whether the name has an answer.
func (t *table) has(name string) bool {
	_, ok := t.values[name]
	return ok
}

// name returns a name that can be part of a URL path.
func (t *table) name(name string) string {
	return t.text(name, acceptedName, func(s string) bool {
		return len(s) <= maxNameLength && namePattern.MatchString(s)
	})
}

// oneOf returns a text that is one of the given values.
func (t *table) oneOf(name string, accepted ...string) string {
	quoted := make([]string, 0, len(accepted))
	for _, a := range accepted {
		quoted = append(quoted, strconv.Quote(a))
	}
	return t.text(name, strings.Join(quoted, " or "), func(s string) bool {
		for _, a := range accepted {
			if s == a {
				return true
			}
		}
		return false
	})
}

// size returns a number of bytes from minBytes to maximum, or 0 if the answer is invalid.
func (t *table) size(name string, maximum int64) int64 {
	value, _ := t.lookUp(name)
	text, _ := value.(string)
	parts := sizePattern.FindStringSubmatch(text)
	bytes := 0.0
	if parts != nil {
		number, _ := strconv.ParseFloat(parts[1], 64)
		bytes = number * sizeUnits[parts[2]]
	}
	if bytes < minBytes || bytes > float64(maximum) {
		accepted := fmt.Sprintf("a size from %s to %s with a unit (KB, MB, GB, TB, KiB, MiB, GiB, TiB)", formatSize(minBytes), formatSize(maximum))
		t.reject(name, accepted)
		return 0
	}
	return int64(bytes)
}

// table returns a table, nil if it is missing or invalid.
func (t *table) table(name string) *table {
	value, _ := t.lookUp(name)
	values, ok := value.(map[string]any)
	if !ok {
		t.reject(name, "a table ["+t.pathOf(name)+"]")
		return nil
	}
	return newTable(t.document, t.pathOf(name), values)
}

// tables returns an array of tables with at least the given number of elements.
func (t *table) tables(name string, minCount int) []*table {
	value, ok := t.lookUp(name)
	elements, isArray := value.([]any)
	accepted := fmt.Sprintf("at least %d tables [[%s]]", minCount, t.pathOf(name))
	if (ok && !isArray) || len(elements) < minCount {
		t.reject(name, accepted)
		return nil
	}
	tables := make([]*table, 0, len(elements))
	for i, element := range elements {
		path := fmt.Sprintf("%s[%d]", t.pathOf(name), i)
		values, isTable := element.(map[string]any)
		if !isTable {
			t.document.addMistake(path, element, accepted)
			continue
		}
		tables = append(tables, newTable(t.document, path, values))
	}
	return tables
}

// lookUp returns the value of an answer and adds its name to the known names.
func (t *table) lookUp(name string) (any, bool) {
	t.knownNames[name] = true
	value, ok := t.values[name]
	return value, ok
}

// text returns a text that the function accepts, "" if the answer is invalid.
func (t *table) text(name, accepted string, accepts func(string) bool) string {
	value, _ := t.lookUp(name)
	text, ok := value.(string)
	if !ok || !accepts(text) {
		t.reject(name, accepted)
		return ""
	}
	return text
}

// textList returns a non-empty list of texts that the function accepts.
func (t *table) textList(name, accepted string, accepts func(string) bool) []string {
	value, _ := t.lookUp(name)
	elements, ok := value.([]any)
	if !ok || len(elements) == 0 {
		t.reject(name, "a list with at least one of: "+accepted)
		return nil
	}
	var texts []string
	for i, element := range elements {
		text, isText := element.(string)
		if !isText || !accepts(text) {
			t.document.addMistake(fmt.Sprintf("%s[%d]", t.pathOf(name), i), element, accepted)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// positiveInteger returns a whole number from 1 to maximum.
func (t *table) positiveInteger(name string, maximum int64) int {
	value, _ := t.lookUp(name)
	n, ok := value.(int64)
	if !ok || n < 1 || n > maximum {
		t.reject(name, fmt.Sprintf("a whole number from 1 to %d", maximum))
		return 1
	}
	return int(n)
}

// reject records a mistake for the answer.
func (t *table) reject(name, accepted string) {
	t.document.addMistake(t.pathOf(name), t.values[name], accepted)
}

// formatSize formats a number of bytes in the largest decimal unit that gives a value of at least 1.
func formatSize(bytes int64) string {
	for _, unit := range []string{"TB", "GB", "MB", "KB"} {
		if scaled := float64(bytes) / sizeUnits[unit]; scaled >= 1 {
			return strconv.FormatFloat(scaled, 'f', -1, 64) + unit
		}
	}
	return strconv.FormatInt(bytes, 10) + "B"
}
