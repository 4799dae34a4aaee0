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
	// lines are the lines of keys and tables by path, such as "Models[2].Name".
	lines    map[string]int
	newlines []int
	// counts are the elements seen so far of each array of tables, by path.
	counts   map[string]int
	mistakes []Mistake
}

// newDocument parses data. The only mistake of a document that is not TOML is the first one found.
func newDocument(data []byte) *document {
	d := &document{lines: make(map[string]int), counts: make(map[string]int)}
	if err := toml.Unmarshal(data, &d.root); err != nil {
		d.mistakes = append(d.mistakes, syntaxMistake(err))
		return d
	}
	for i, b := range data {
		if b == '\n' {
			d.newlines = append(d.newlines, i)
		}
	}
	parser := unstable.Parser{}
	parser.Reset(bytes.Clone(data))
	prefix := ""
	for parser.NextExpression() {
		prefix = d.index(parser.Expression(), prefix)
	}
	return d
}

// add notes a mistake at the line of the path, or of the nearest table around it.
func (d *document) add(path string, value any, accepted string) {
	d.mistakes = append(d.mistakes, Mistake{
		Line:     d.line(path),
		Name:     path,
		Value:    printable(value),
		Accepted: accepted,
	})
}

// index notes the lines of one expression and returns the path that following keys are below.
func (d *document) index(n *unstable.Node, prefix string) string {
	switch n.Kind {
	case unstable.Table:
		return d.indexKey(n.Key(), "")
	case unstable.ArrayTable:
		path := d.indexKey(n.Key(), "")
		element := fmt.Sprintf("%s[%d]", path, d.counts[path])
		d.counts[path]++
		d.lines[element] = d.lines[path]
		return element
	case unstable.KeyValue:
		d.indexValue(n.Value(), d.indexKey(n.Key(), prefix))
	}
	return prefix
}

// indexKey notes the line of each part of a dotted key and returns its path.
func (d *document) indexKey(key unstable.Iterator, prefix string) string {
	path := prefix
	for key.Next() {
		path = join(d.latest(path), string(key.Node().Data))
		d.lines[path] = d.lineAt(int(key.Node().Raw.Offset))
	}
	return path
}

func (d *document) indexValue(value *unstable.Node, path string) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			d.index(children.Node(), path)
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			d.indexValue(children.Node(), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

// latest returns the path of the last element if the path is an array of tables.
func (d *document) latest(path string) string {
	if n := d.counts[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

func (d *document) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func (d *document) lineAt(offset int) int {
	return sort.SearchInts(d.newlines, offset) + 1
}

// join returns the path of a name below a prefix. Names that are not bare keys are quoted.
func join(prefix, name string) string {
	if !bareKey.MatchString(name) {
		name = strconv.Quote(name)
	}
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

func syntaxMistake(err error) Mistake {
	mistake := Mistake{Line: 1, Name: "TOML", Value: err.Error(), Accepted: "a TOML document"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		mistake.Line, _ = decode.Position()
	}
	return mistake
}
