package assembler

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/peer/messenger"
)

const (
	// chunkBytes is the size of the chunks in which a configuration is sent to another daemon.
	chunkBytes = 256 << 10
	// maxConfigurationBytes bounds the size of a configuration received from another daemon.
	maxConfigurationBytes = 64 << 20
)

// An exchanger sends the configuration in force to other daemons and fetches theirs, for outages of the key-value
// service.
type exchanger struct {
	client  *messenger.Client
	current func() *cataloger.Catalog
}

// configuration returns the version in force and, if it is newer than haveVersion, the compressed configuration in
// chunks.
func (x exchanger) configuration(haveVersion int64) (version int64, chunks [][]byte) {
	catalog := x.current()
	if catalog == nil {
		return 0, nil
	}
	version = catalog.Version()
	if version <= haveVersion {
		return version, nil
	}
	data, err := compress(catalog.Configuration)
	if err != nil {
		return 0, nil
	}
	for len(data) > 0 {
		n := min(chunkBytes, len(data))
		chunks = append(chunks, data[:n])
		data = data[n:]
	}
	return version, chunks
}

// fetch returns the configuration of the daemon at an address, nil if it is not newer than haveVersion.
func (x exchanger) fetch(ctx context.Context, address string, haveVersion int64) (*cataloger.Configuration, error) {
	version, chunks, err := x.client.FetchConfiguration(ctx, address, haveVersion)
	if err != nil {
		return nil, err
	}
	if version <= haveVersion || len(chunks) == 0 {
		return nil, nil //nolint:nilnil // Having no newer configuration is not an error.
	}
	return decompress(bytes.Join(chunks, nil))
}

func compress(c cataloger.Configuration) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(c); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return buffer.Bytes(), nil
}

func decompress(data []byte) (*cataloger.Configuration, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	var configuration cataloger.Configuration
	if err := json.NewDecoder(io.LimitReader(reader, maxConfigurationBytes)).Decode(&configuration); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return &configuration, nil
}
