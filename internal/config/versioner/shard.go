package versioner

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/config/cataloger"
)

const (
	// deploymentsPerShard is the mean number of deployments in a shard.
	deploymentsPerShard = 16
	// splitBytes is the size before compression at which a shard is ended early.
	splitBytes = 256 << 10
	// maxShardBytes bounds the compressed value, which the key-value service limits to a megabyte.
	maxShardBytes = 512 << 10
	// maxContentBytes bounds what a value may decompress to.
	maxContentBytes = 64 << 20
	hashBytes       = 16
)

var errContentTooLarge = errors.New("decompressed value is too large")

// A content is what a shard says. The first shard has Base, the others Deployments.
type content struct {
	// Base is the configuration without Version, ChangeID and Deployments.
	Base        *cataloger.Configuration `json:",omitempty"`
	Deployments []cataloger.Deployment   `json:",omitempty"`
}

// A shard is an encoded content with its hash.
type shard struct {
	hash  string
	value []byte
}

// Shards are decoded shards by hash. They are never changed.
type Shards map[string]content

// split cuts a configuration into shards. Where a shard ends depends on the names of the
// deployments, not on their number, so that a change of one deployment changes few shards.
func split(c cataloger.Configuration) ([]shard, error) {
	base := c
	base.Version, base.ChangeID, base.Deployments = 0, "", nil
	first, err := encode(content{Base: &base})
	if err != nil {
		return nil, err
	}
	shards := []shard{first}
	start, size := 0, 0
	for i, d := range c.Deployments {
		encoded, err := json.Marshal(d)
		if err != nil {
			return nil, fmt.Errorf("encoding deployment %s: %w", d.Name, err)
		}
		size += len(encoded)
		last := i == len(c.Deployments)-1
		if !last && size < splitBytes && xxhash.Sum64String(d.Name)%deploymentsPerShard != 0 {
			continue
		}
		next, err := encode(content{Deployments: c.Deployments[start : i+1]})
		if err != nil {
			return nil, err
		}
		shards = append(shards, next)
		start, size = i+1, 0
	}
	return shards, nil
}

// merge puts a configuration together from its shards.
func merge(change Change, shards Shards) cataloger.Configuration {
	var c cataloger.Configuration
	var deployments []cataloger.Deployment
	for _, hash := range change.Shards {
		piece := shards[hash]
		if piece.Base != nil {
			c = *piece.Base
		}
		deployments = append(deployments, piece.Deployments...)
	}
	c.Version = change.Version
	c.ChangeID = change.ChangeID
	c.Deployments = deployments
	return c
}

// decode reads a shard and checks that it has the hash.
func decode(hash string, value []byte) (content, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxContentBytes+1))
	if err != nil {
		return content{}, damaged(shardPrefix+hash, err)
	}
	if len(data) > maxContentBytes {
		return content{}, damaged(shardPrefix+hash, errContentTooLarge)
	}
	if got := hashOf(data); got != hash {
		return content{}, damaged(shardPrefix+hash, fmt.Errorf("content has the hash %s", got))
	}
	var c content
	if err := json.Unmarshal(data, &c); err != nil {
		return content{}, damaged(shardPrefix+hash, err)
	}
	return c, nil
}

func encode(c content) (shard, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return shard{}, fmt.Errorf("encoding shard: %w", err)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return shard{}, fmt.Errorf("compressing shard: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return shard{}, fmt.Errorf("compressing shard: %w", err)
	}
	if err := w.Close(); err != nil {
		return shard{}, fmt.Errorf("compressing shard: %w", err)
	}
	if b.Len() > maxShardBytes || len(data) > maxContentBytes {
		return shard{}, fmt.Errorf("encoding shard of %d bytes: %w", b.Len(), ErrTooLarge)
	}
	return shard{hash: hashOf(data), value: b.Bytes()}, nil
}

// hashOf returns the name of a shard with the content.
func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:hashBytes])
}
