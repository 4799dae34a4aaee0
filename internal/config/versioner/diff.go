package versioner

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"

	"samphirewharf/internal/config/cataloger"
)

// Diff returns what differs between two configurations, one line for each value: "+" with what
// only b has, "-" with what only a has, "~" with a value that changed. Version and ChangeID don't count.
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

// indexByName turns a list of objects with names into an object, so that order doesn't matter.
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

// formatValue returns a value as text with a space before it, and nothing for objects.
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
