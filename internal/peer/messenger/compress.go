package messenger

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxViewsBytes bounds the size of decompressed views.
const maxViewsBytes = 32 << 20

var errViewsTooLarge = errors.New("views are too large")

// A Compressor compresses views. The zero value is ready to use. It must not be used concurrently.
type Compressor struct{ writer *flate.Writer }

// Compress returns views in compressed form.
func (c *Compressor) Compress(views []View) ([]byte, error) {
	encoded, err := proto.Marshal(&ViewsPart{Views: convert(views, encodeView)})
	if err != nil {
		return nil, fmt.Errorf("encode views: %w", err)
	}
	var buffer bytes.Buffer
	if c.writer == nil {
		if c.writer, err = flate.NewWriter(&buffer, flate.BestSpeed); err != nil {
			return nil, fmt.Errorf("compress views: %w", err)
		}
	} else {
		c.writer.Reset(&buffer)
	}
	if _, err := c.writer.Write(encoded); err != nil {
		return nil, fmt.Errorf("compress views: %w", err)
	}
	if err := c.writer.Close(); err != nil {
		return nil, fmt.Errorf("compress views: %w", err)
	}
	return buffer.Bytes(), nil
}

func decompressViews(compressed []byte) ([]View, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxViewsBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress views: %w", err)
	}
	if len(encoded) > maxViewsBytes {
		return nil, errViewsTooLarge
	}
	var part ViewsPart
	if err := proto.Unmarshal(encoded, &part); err != nil {
		return nil, fmt.Errorf("decode views: %w", err)
	}
	return convert(part.GetViews(), decodeView), nil
}
