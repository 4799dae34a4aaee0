package assembler

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/versioner"
)

// A fetcher fetches the configuration from the key-value service or from another daemon.
type fetcher struct {
	versioner versioner.Versioner
	// fromPeer fetches the configuration of the daemon at an address if it is newer than a version.
	fromPeer func(ctx context.Context, address string, haveVersion int64) (*cataloger.Configuration, error)

	mu     sync.Mutex
	shards versioner.Shards
}

// fetch returns a configuration and the revision of the head key, which is 0 for a peer. The catalog is nil if there
// is no configuration newer than haveVersion.
func (f *fetcher) fetch(ctx context.Context, peer string, haveVersion int64) (*cataloger.Catalog, int64, error) {
	if peer != "" {
		return f.fetchFromPeer(ctx, peer, haveVersion)
	}
	fetched, err := f.versioner.Fetch(ctx, f.cachedShards())
	if errors.Is(err, versioner.ErrNoConfiguration) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("fetch configuration: %w", err)
	}
	f.cacheShards(fetched.Shards)
	return cataloger.NewCatalog(fetched.Configuration), fetched.Revision, nil
}

func (f *fetcher) fetchFromPeer(ctx context.Context, peer string, haveVersion int64) (*cataloger.Catalog, int64, error) {
	configuration, err := f.fromPeer(ctx, peer, haveVersion)
	if err != nil {
		return nil, 0, fmt.Errorf("fetch configuration from %s: %w", peer, err)
	}
	if configuration == nil {
		return nil, 0, nil
	}
	return cataloger.NewCatalog(*configuration), 0, nil
}

func (f *fetcher) cachedShards() versioner.Shards {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards
}

func (f *fetcher) cacheShards(shards versioner.Shards) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shards = shards
}
