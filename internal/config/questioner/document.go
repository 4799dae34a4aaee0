package questioner

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// A document is a TOML document with the line of each of its keys.
type document struct {
	root map[string]any
	// lines are the line numbers of keys and tables by path, such as "Models[2].Name".
	lines map[string]int
	// newlineOffsets are the byte offsets of all newlines, in order.
	newlineOffsets []int
	// elementCounts are the numbers of elements seen so far in each array of tables, by path.
	elementCounts map[string]int
	mistakes      []Mistake
}

// newDocument parses data. A document that is not valid TOML has only the first syntax error as a mistake.
func newDocument(data []byte) *document {
	d := &document{lines: make(map[string]int), elementCounts: make(map[string]int)}
	if err := toml.Unmarshal(data, &d.root); err != nil {
		d.mistakes = append(d.mistakes, syntaxMistake(err))
		return d
	}
	for i, b := range data {
		if b == '\n' {
			d.newlineOffsets = append(d.newlineOffsets, i)
		}
	}
	parser := unstable.Parser{}
	parser.Reset(bytes.Clone(data))
	prefix := ""
	for parser.NextExpression() {
		prefix = d.indexExpression(parser.Expression(), prefix)
	}
	return d
}

// addMistake records a mistake at the line of the path, or of the nearest enclosing table.
func (d *document) addMistake(path string, value any, accepted string) {
	d.mistakes = append(d.mistakes, Mistake{
		Line:     d.lineOf(path),
		Name:     path,
		Value:    formatValue(value),
		Accepted: accepted,
	})
}

// indexExpression records the lines of one expression and returns the path prefix of the keys that follow it.
func (d *document) indexExpression(n *unstable.Node, prefix string) string {
	switch n.Kind {
	case unstable.Table:
		return d.indexKey(n.Key(), "")
	case unstable.ArrayTable:
		path := d.indexKey(n.Key(), "")
		element := fmt.Sprintf("%s[%d]", path, d.elementCounts[path])
		d.elementCounts[path]++
		d.lines[element] = d.lines[path]
		return element
	case unstable.KeyValue:
		d.indexValue(n.Value(), d.indexKey(n.Key(), prefix))
	}
	return prefix
}

// indexKey records the line of each part of a dotted key and returns its path.
func (d *document) indexKey(key unstable.Iterator, prefix string) string {
	path := prefix
	for key.Next() {
		path = joinPath(d.lastElement(path), string(key.Node().Data))
		d.lines[path] = d.lineAtOffset(int(key.Node().Raw.Offset))
	}
	return path
}

// indexValue records the lines of the keys inside an inline table or array.
func (d *document) indexValue(value *unstable.Node, path string) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			d.indexExpression(children.Node(), path)
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			d.indexValue(children.Node(), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

// lastElement returns the path of the last element so far if the path is an array of tables, else the path itself.
func (d *document) lastElement(path string) string {
	if n := d.elementCounts[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

// lineOf returns the line of the path or of its nearest enclosing table, 1 if there is none.
func (d *document) lineOf(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// lineAtOffset returns the line number of a byte offset.
func (d *document) lineAtOffset(offset int) int {
	return sort.SearchInts(d.newlineOffsets, offset) + 1
}

// joinPath returns the path of a name below a prefix. Names that are not bare keys are quoted.
func joinPath(prefix, name string) string {
	if !bareKey.MatchString(name) {
		name = strconv.Quote(name)
	}
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// syntaxMistake returns the mistake for a TOML syntax error.
func syntaxMistake(err error) Mistake {
	mistake := Mistake{Line: 1, Name: "TOML", Value: err.Error(), Accepted: "a TOML document"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		mistake.Line, _ = decode.Position()
	}
	return mistake
}
