package currantloom

import (
	"context"
	"io"
)

// ResponseWriter takes the backend messages of a response in order.
type ResponseWriter interface {
	// WriteMessage passes one message on: its type byte and a body of the given length. Large bodies stream.
	WriteMessage(kind byte, length int, body io.Reader) error
	// Flush sends what is buffered.
	Flush() error
}

// Link runs the requests of one transaction, or a single request, at a carrier.
type Link interface {
	// Run sends a request and passes the response on, without its ReadyForQuery. A trailer is always returned; if
	// the link failed it holds the verdict that the failure allows.
	Run(ctx context.Context, header RequestHeader, body []byte, out ResponseWriter) Trailer
	// Release ends the use of the link; an open transaction is rolled back.
	Release()
}

// LinkDialer gives out links to carriers.
type LinkDialer interface {
	// Link returns an idle or new link to the VM. An error means that nothing was sent.
	Link(ctx context.Context, vm VM) (Link, error)
}

// Gateway is what a caller's session needs from its node.
type Gateway interface {
	// RequiresRequestID reports whether a rule requires a request id for one of the statements.
	RequiresRequestID(database DatabaseName, statements []string) bool
	// NextKey returns the key of a new request.
	NextKey() RequestKey
	// Execute routes and runs a request, with retries. The returned link is not nil if the request left a
	// transaction open; the session runs the rest of the transaction on it and releases it.
	Execute(ctx context.Context, request Request, body []byte, out ResponseWriter) (Trailer, Link)
	// Cancel gives up the request.
	Cancel(key RequestKey)
}
