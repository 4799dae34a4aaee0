package follower

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// OriginsPrefix is the prefix of the records of the software versions that began streams. It isn't below SharedPrefix, which daemons
// watch: the records are read only when a stream is resumed, and each write would end a call of each watch.
const OriginsPrefix = "samphirewharf-origins/"

// The value of a record of origins is a protobuf message with a field for each version, which holds a message of the version's name
// and the packed hashes of its streams, of 8 bytes each.
const (
	originsVersionField = 1
	versionNameField    = 1
	versionStreamsField = 2
)

// OriginsKey returns the key of a record of origins that a process of a daemon writes.
func OriginsKey(instance string, record int64) string {
	return OriginsPrefix + instance + "/" + strconv.FormatInt(record, 10)
}

// EncodeOrigins returns the value of a record of origins.
func EncodeOrigins(origins []messenger.StreamOrigin) []byte {
	var versions []string
	streams := make(map[string][]byte)
	for _, o := range origins {
		if _, ok := streams[o.SoftwareVersion]; !ok {
			versions = append(versions, o.SoftwareVersion)
		}
		streams[o.SoftwareVersion] = binary.LittleEndian.AppendUint64(streams[o.SoftwareVersion], o.Stream)
	}
	var value []byte
	for _, version := range versions {
		var part []byte
		part = protowire.AppendTag(part, versionNameField, protowire.BytesType)
		part = protowire.AppendString(part, version)
		part = protowire.AppendTag(part, versionStreamsField, protowire.BytesType)
		part = protowire.AppendBytes(part, streams[version])
		value = protowire.AppendTag(value, originsVersionField, protowire.BytesType)
		value = protowire.AppendBytes(value, part)
	}
	return value
}

// DecodeOrigins returns the origins in a record. It skips unknown fields.
func DecodeOrigins(e storer.Entry) ([]messenger.StreamOrigin, error) {
	var origins []messenger.StreamOrigin
	err := decodeFields(e.Value, func(field protowire.Number, part []byte) error {
		if field != originsVersionField {
			return nil
		}
		var version string
		var streams []byte
		err := decodeFields(part, func(field protowire.Number, value []byte) error {
			switch field {
			case versionNameField:
				version = string(value)
			case versionStreamsField:
				streams = value
			}
			return nil
		})
		if err != nil {
			return err
		}
		for ; len(streams) >= 8; streams = streams[8:] {
			origins = append(origins, messenger.StreamOrigin{Stream: binary.LittleEndian.Uint64(streams), SoftwareVersion: version})
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return origins, nil
}

// decodeFields calls a function with each field of bytes in a message.
func decodeFields(message []byte, handle func(protowire.Number, []byte) error) error {
	for len(message) > 0 {
		field, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return fmt.Errorf("read tag: %w", protowire.ParseError(n))
		}
		message = message[n:]
		if kind != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(field, kind, message); n < 0 {
				return fmt.Errorf("read field %d: %w", field, protowire.ParseError(n))
			}
			message = message[n:]
			continue
		}
		value, n := protowire.ConsumeBytes(message)
		if n < 0 {
			return fmt.Errorf("read field %d: %w", field, protowire.ParseError(n))
		}
		if err := handle(field, value); err != nil {
			return err
		}
		message = message[n:]
	}
	return nil
}
