package currantloom

import (
	"context"
	"io"
)

// ResponseWriter receives the backend messages of a response in order.
type ResponseWriter interface {
	// WriteMessage forwards one message: its type byte and a body of the given length. Large bodies are streamed.
	WriteMessage(kind byte, length int, body io.Reader) error
	// Flush sends the buffered messages.
	Flush() error
}

// Link runs the requests of one transaction, or a single request, at the owner of an upstream.
type Link interface {
	// Run sends a request and forwards the response, without its ReadyForQuery. It always returns a trailer; if the
	// link failed, the trailer's verdict says what is known about the request's effect.
	Run(ctx context.Context, header RequestHeader, body []byte, out ResponseWriter) ResponseTrailer
	// Release returns the link to its dialer; an open transaction is rolled back.
	Release()
}

// LinkDialer opens and reuses links to other nodes.
type LinkDialer interface {
	// Link returns an idle or new link to the VM. An error means that nothing was sent.
	Link(ctx context.Context, vm VM) (Link, error)
}

// Gateway is the interface of a node to its client sessions.
type Gateway interface {
	// RequiresRequestID reports whether a rule requires a request id for one of the statements.
	RequiresRequestID(database DatabaseName, statements []string) bool
	// NextRequestKey returns the key of a new request.
	NextRequestKey() RequestKey
	// Execute routes and runs a request, with retries. The returned link is not nil if the request left a
	// transaction open; the session runs the rest of the transaction on it and releases it.
	Execute(ctx context.Context, request Request, body []byte, out ResponseWriter) (ResponseTrailer, Link)
	// Cancel cancels the request.
	Cancel(key RequestKey)
}
