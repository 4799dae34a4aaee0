package conductor

import (
	"strconv"
	"strings"
)

// splitName returns the model and adapter of a name made by modelName.
func splitName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
