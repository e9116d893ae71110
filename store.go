package currantloom

import (
	"context"
	"time"
)

// StoreItem is one key of the platform's store.
type StoreItem struct {
	Key   string
	Value []byte
	// Revision is that of the last change; the revisions of a store only grow.
	Revision uint64
	Lease    uint64
	// Deleted says that the key was removed at this revision.
	Deleted bool
}

// StoreTxn is a change of several keys, all or nothing.
type StoreTxn struct {
	// Expected holds the revisions that keys must have; 0 means that the key must not exist.
	Expected map[string]uint64
	Set      []StoreItem
	Delete   []string
}

// Store is the platform's key-value store. Errors of type ErrConflict say that a condition did not hold, ErrInput that
// the lease or the history does not exist any more, ErrUnavailable everything else; a change that met ErrUnavailable
// may still take effect.
type Store interface {
	// Range returns all items under the prefix and the revision up to which they are complete.
	Range(ctx context.Context, prefix string) ([]StoreItem, uint64, error)
	// Watch returns the changes after the revision as soon as there are any, or none after the wait time.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]StoreItem, uint64, error)
	// Commit returns the revision of the change.
	Commit(ctx context.Context, txn StoreTxn) (uint64, error)
	// Grant returns a lease that ends after the time to live unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Catalog reads what the operators and the upstreams write into the store.
type Catalog interface {
	// Configuration decodes an item; ok is false if the item is something else.
	Configuration(StoreItem) (c Configuration, ok bool, err error)
	// Upstream decodes an item; ok is false if the item is something else. A deleted item has only a name.
	Upstream(StoreItem) (u Upstream, ok bool, err error)
}
