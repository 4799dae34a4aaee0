package versioner

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"

	"samphirewharf/internal/config/cataloger"
)

// Diff returns the differences between two configurations, one line for each value: "+" for a value that
// only b has, "-" for one that only a has, "~" for one that changed. It ignores Version and ChangeID.
func Diff(a, b cataloger.Configuration) ([]string, error) {
	before, err := toTree(a)
	if err != nil {
		return nil, err
	}
	after, err := toTree(b)
	if err != nil {
		return nil, err
	}
	return diffTrees("", before, after), nil
}

// diffTrees returns the differences between two objects, sorted by name.
func diffTrees(path string, a, b map[string]any) []string {
	names := make(map[string]bool, len(a)+len(b))
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	var lines []string
	for _, name := range sorted {
		lines = append(lines, diffValues(path+name, a[name], b[name])...)
	}
	return lines
}

func diffValues(path string, a, b any) []string {
	before, beforeIsTree := a.(map[string]any)
	after, afterIsTree := b.(map[string]any)
	switch {
	case beforeIsTree && afterIsTree:
		return diffTrees(path+".", before, after)
	case reflect.DeepEqual(a, b):
		return nil
	case a == nil:
		return []string{"+ " + path + formatValue(b)}
	case b == nil:
		return []string{"- " + path + formatValue(a)}
	default:
		return []string{fmt.Sprintf("~ %s:%s ->%s", path, formatValue(a), formatValue(b))}
	}
}

// indexByName converts lists of named objects to objects keyed by name, so that their order is ignored.
func indexByName(value any) any {
	switch value := value.(type) {
	case map[string]any:
		for name, v := range value {
			value[name] = indexByName(v)
		}
	case []any:
		named := make(map[string]any, len(value))
		for _, element := range value {
			object, ok := element.(map[string]any)
			name, hasName := object["Name"].(string)
			if !ok || !hasName {
				return value
			}
			delete(object, "Name")
			named[name] = indexByName(object)
		}
		return named
	}
	return value
}

// toTree returns the configuration as JSON objects, with lists of named objects keyed by name.
func toTree(c cataloger.Configuration) (map[string]any, error) {
	c.Version, c.ChangeID = 0, ""
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encoding configuration: %w", err)
	}
	var t map[string]any
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, fmt.Errorf("decoding configuration: %w", err)
	}
	for name, value := range t {
		if value == nil {
			t[name] = map[string]any{}
			continue
		}
		t[name] = indexByName(value)
	}
	return t, nil
}

// formatValue returns a value as JSON after a space, or "" for an object.
func formatValue(value any) string {
	if _, isTree := value.(map[string]any); isTree {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf(" %v", value)
	}
	return " " + string(data)
}
