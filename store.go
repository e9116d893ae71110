package currantloom

import (
	"context"
	"time"
)

// StoreItem is one key of the platform's store with its value.
type StoreItem struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key; a store's revisions only increase.
	Revision uint64
	Lease    uint64
	// Deleted says that the key was deleted at this revision.
	Deleted bool
}

// StoreTxn is an atomic change of several keys.
type StoreTxn struct {
	// Expected holds the revisions that keys must have for the commit; 0 means that the key must not exist.
	Expected map[string]uint64
	Set      []StoreItem
	Delete   []string
}

// Store is the platform's key-value store. ErrConflict means that a condition of StoreTxn did not hold, ErrInput that
// the lease or the requested history no longer exists, ErrUnavailable any other failure; after ErrUnavailable a change
// may still take effect.
type Store interface {
	// Range returns all items under the prefix and the revision up to which they are complete.
	Range(ctx context.Context, prefix string) ([]StoreItem, uint64, error)
	// Watch returns the changes after the revision as soon as there are any, or none after the wait time.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]StoreItem, uint64, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, txn StoreTxn) (uint64, error)
	// Grant returns a new lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Catalog decodes the items that operators and upstreams write into the store.
type Catalog interface {
	// Configuration decodes an item; ok is false if the item is something else.
	Configuration(StoreItem) (c Configuration, ok bool, err error)
	// Upstream decodes an item; ok is false if the item is something else. A deleted item has only a name.
	Upstream(StoreItem) (u Upstream, ok bool, err error)
}
