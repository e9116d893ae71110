package currantloom

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// StoreItem is one key of the platform's store with its value.
type StoreItem struct {
	Key   string
	Value []byte
	// Position is the store's position at the last change of the key.
	Position StorePosition
	Lease    StoreLease
	// Deleted says that the key was deleted at this position.
	Deleted bool
}

// StoreTxn is an atomic change of several keys.
type StoreTxn struct {
	// Era is the era in which the revisions and leases are valid.
	Era StoreEra
	// Expected holds the revisions that keys must have for the commit; 0 means that the key must not exist.
	Expected map[string]uint64
	Set      []StoreItem
	Delete   []string
}

// Store is the platform's key-value store. All calls except Range belong to an era. ErrRestored means that the store
// answered in a later era; the call may have taken effect there, and its result must not be used. Other errors:
// ErrConflict means that a condition of StoreTxn did not hold, ErrInput that the lease or the requested history no
// longer exists, ErrUnavailable any other failure; after ErrUnavailable a change may still take effect. ErrStoreEra is
// a kind of ErrUnavailable.
type Store interface {
	// Range returns all items under the prefix and the position up to which they are complete.
	Range(ctx context.Context, prefix string) ([]StoreItem, StorePosition, error)
	// Watch returns the changes after the position as soon as there are any, or none after the wait time. It gives up
	// when it has got no data for loomwatch.CallTimeout after that.
	Watch(ctx context.Context, prefix string, after StorePosition, wait time.Duration) ([]StoreItem, StorePosition, error)
	// Commit applies the transaction and returns its position.
	Commit(ctx context.Context, txn StoreTxn) (StorePosition, error)
	// Grant returns a new lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, era StoreEra, ttl time.Duration) (StoreLease, error)
	Renew(ctx context.Context, lease StoreLease) error
}

// Catalog decodes the items that operators and upstreams write into the store.
type Catalog interface {
	// Configuration decodes an item; ok is false if the item is something else. The error says that the configuration is
	// invalid or was deleted, without any key.
	Configuration(StoreItem) (c Configuration, ok bool, err error)
	// Upstream decodes an item; ok is false if the item is something else. A deleted item has only a name.
	Upstream(StoreItem) (u Upstream, ok bool, err error)
}

var (
	// ErrRestored is the type of errors of a call to a store that came back from an older copy after the call's era.
	ErrRestored = errorNamespace.NewType("restored")
	// ErrStoreEra is the type of errors of an answer whose era is missing, malformed, or lower than one that was seen.
	ErrStoreEra = ErrUnavailable.NewSubtype("era")

	storeEraProperty = errorx.RegisterPrintableProperty("era")
)

// NewRestoredError returns the error of a call that the store answered in a later era.
func NewRestoredError(era StoreEra) error {
	return ErrRestored.New("the store came back from an older copy").WithProperty(storeEraProperty, era)
}

// RestoredEraOf returns the later era in which the store answered; ok is false if the error says nothing of that.
func RestoredEraOf(err error) (era StoreEra, ok bool) {
	if v, found := errorx.ExtractProperty(err, storeEraProperty); found {
		return v.(StoreEra), true
	}
	return 0, false
}

// IsStoreEra reports whether an error is of type ErrStoreEra.
func IsStoreEra(err error) bool { return errorx.IsOfType(err, ErrStoreEra) }
