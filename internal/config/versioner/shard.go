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
	// maxUncompressedShardBytes is the size before compression at which a shard ends early.
	maxUncompressedShardBytes = 256 << 10
	// maxCompressedShardBytes bounds the compressed value, which the key-value service limits to a megabyte.
	maxCompressedShardBytes = 512 << 10
	// maxDecompressedBytes bounds the decompressed size of a value.
	maxDecompressedBytes = 64 << 20
	hashBytes            = 16
)

var errContentTooLarge = errors.New("decompressed value is too large")

// A shardContent is the decoded content of a shard. The first shard has Base, the others have Deployments.
type shardContent struct {
	// Base is the configuration without Version, ChangeID and Deployments.
	Base        *cataloger.Configuration `json:",omitempty"`
	Deployments []cataloger.Deployment   `json:",omitempty"`
}

// A shard is an encoded shardContent with its hash.
type shard struct {
	hash  string
	value []byte
}

// Shards are decoded shards by hash. They are never modified.
type Shards map[string]shardContent

// encodeShards splits a configuration into shards. The boundaries depend on the hashes of the deployments'
// names, not on their number, so that a change of one deployment changes few shards.
func encodeShards(c cataloger.Configuration) ([]shard, error) {
	base := c
	base.Version, base.ChangeID, base.Deployments = 0, "", nil
	first, err := encodeShard(shardContent{Base: &base})
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
		if !last && size < maxUncompressedShardBytes && xxhash.Sum64String(d.Name)%deploymentsPerShard != 0 {
			continue
		}
		next, err := encodeShard(shardContent{Deployments: c.Deployments[start : i+1]})
		if err != nil {
			return nil, err
		}
		shards = append(shards, next)
		start, size = i+1, 0
	}
	return shards, nil
}

// mergeShards reassembles a configuration from its shards.
func mergeShards(change Change, shards Shards) cataloger.Configuration {
	var c cataloger.Configuration
	var deployments []cataloger.Deployment
	for _, hash := range change.Shards {
		part := shards[hash]
		if part.Base != nil {
			c = *part.Base
		}
		deployments = append(deployments, part.Deployments...)
	}
	c.Version = change.Version
	c.ChangeID = change.ChangeID
	c.Deployments = deployments
	return c
}

// decodeShard decodes a shard and verifies its hash.
func decodeShard(hash string, value []byte) (shardContent, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxDecompressedBytes+1))
	if err != nil {
		return shardContent{}, corruptedError(shardPrefix+hash, err)
	}
	if len(data) > maxDecompressedBytes {
		return shardContent{}, corruptedError(shardPrefix+hash, errContentTooLarge)
	}
	if got := contentHash(data); got != hash {
		return shardContent{}, corruptedError(shardPrefix+hash, fmt.Errorf("content has the hash %s", got))
	}
	var c shardContent
	if err := json.Unmarshal(data, &c); err != nil {
		return shardContent{}, corruptedError(shardPrefix+hash, err)
	}
	return c, nil
}

// encodeShard encodes and compresses one shard.
func encodeShard(c shardContent) (shard, error) {
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
	if b.Len() > maxCompressedShardBytes || len(data) > maxDecompressedBytes {
		return shard{}, fmt.Errorf("encoding shard of %d bytes: %w", b.Len(), ErrTooLarge)
	}
	return shard{hash: contentHash(data), value: b.Bytes()}, nil
}

// contentHash returns the truncated SHA-256 hash that names a shard with the content.
func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:hashBytes])
}
