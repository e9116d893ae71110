package currantloom

import "cmp"

const (
	// fenceOrderBits is the part of a fence's number that holds the count of orders, fenceRevisionBits that of the
	// revision above it; the era is above both.
	fenceOrderBits    = 8
	fenceRevisionBits = 40
	fenceEraBits      = 15
)

const (
	// MaxStoreEra is the highest era that a fence can hold.
	MaxStoreEra = StoreEra(1)<<fenceEraBits - 1
	// MaxFenceOrder is the highest number of an order under one position of the failover lease's key.
	MaxFenceOrder = 1<<fenceOrderBits - 1
)

// Fence orders the requests for promotion of all holders of the failover lease. Once the platform has carried out one
// for a service, it refuses those with a lower fence, so that a request that was delayed cannot undo a later one. The
// position is that of the lease's key as the holder wrote it, the order counts the holder's requests since.
type Fence struct {
	position StorePosition
	order    uint8
}

// NewFence returns the fence of a request.
func NewFence(position StorePosition, order uint8) Fence {
	return Fence{position: position, order: order}
}

// Position returns the position of the lease's key.
func (f Fence) Position() StorePosition { return f.position }

// Order returns the number of the request under the position.
func (f Fence) Order() uint8 { return f.order }

// IsZero reports whether it is no fence.
func (f Fence) IsZero() bool { return f == Fence{} }

// After reports whether the fence is higher than the other one.
func (f Fence) After(other Fence) bool {
	return cmp.Or(f.position.Compare(other.position), cmp.Compare(f.order, other.order)) > 0
}

// Number returns the fence as a number that increases with it, also from one era to the next. In the first eras it is
// below 2^53, so that it is exact as a floating-point number too.
func (f Fence) Number() uint64 {
	revision := f.position.revision & (1<<fenceRevisionBits - 1)
	return (uint64(f.position.era)<<fenceRevisionBits|revision)<<fenceOrderBits | uint64(f.order)
}
