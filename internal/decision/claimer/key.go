package claimer

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const uuidVersionWithTime = 7

// Partition returns the partition that a key belongs to.
func Partition(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

// keyTime returns the time in a key that is a UUID of version 7, and false for any other key.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionWithTime || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var milliseconds int64
	for _, b := range id[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}
