package loomnode

import (
	"context"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// cancellableLink is a link whose running request can be cancelled.
type cancellableLink interface {
	currantloom.Link
	// Cancel cancels the request if it runs on the link.
	Cancel(key currantloom.RequestKey)
}

// entryRequest is a request at its entry node: it receives the effects that the reducer returns for the request.
type entryRequest struct {
	*mailbox
	// link runs the current attempt. It is nil between attempts.
	link      cancellableLink
	cancelled bool
}

// NextRequestKey returns the key of a new request.
func (n *Node) NextRequestKey() currantloom.RequestKey {
	return currantloom.RequestKey{VM: n.config.Reducer.Self, Number: n.lastRequestNumber.Add(1)}
}

// RequiresRequestID reports whether a rule requires a request id for one of the statements.
func (n *Node) RequiresRequestID(database currantloom.DatabaseName, statements []string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.RequiresRequestID(database, "", statements...)
}

// Execute runs a request, with the retries that the reducer decides on, and returns the reducer's response. If the
// request leaves a transaction open, the link for its further requests is returned as well.
func (n *Node) Execute(
	ctx context.Context, request currantloom.Request, body []byte, out currantloom.ResponseWriter,
) (currantloom.ResponseTrailer, currantloom.Link) {
	r := &entryRequest{mailbox: newMailbox()}
	n.mu.Lock()
	n.requests[request.Key] = r
	n.mu.Unlock()
	defer n.removeRequest(request.Key)
	n.submit(loomcore.RequestArrived{Stamp: n.stamp(), Request: request})
	var link cancellableLink
	for {
		switch e := r.take().(type) {
		case loomcore.Forward:
			releaseLink(link)
			link = n.forward(ctx, r, e, body, out)
		case loomcore.Respond:
			return e.Trailer, n.keepTransactionLink(link, e.Trailer)
		}
	}
}

// keepTransactionLink returns the link if the request left a transaction open, and releases it otherwise.
func (n *Node) keepTransactionLink(link cancellableLink, trailer currantloom.ResponseTrailer) currantloom.Link {
	if link == nil {
		return nil
	}
	if trailer.TransactionStatus != currantloom.TransactionOpen &&
		trailer.TransactionStatus != currantloom.TransactionFailed {
		link.Release()
		return nil
	}
	return &transactionLink{cancellableLink: link, node: n}
}

func releaseLink(link cancellableLink) {
	if link != nil {
		link.Release()
	}
}

// forward makes one attempt and reports its end to the reducer. It returns the attempt's link, nil if there is none.
func (n *Node) forward(
	ctx context.Context, r *entryRequest, e loomcore.Forward, body []byte, out currantloom.ResponseWriter,
) cancellableLink {
	finished := loomcore.ForwardFinished{Key: e.Header.Key, Attempt: e.Attempt}
	link, err := n.openLink(ctx, e.VM)
	if err == nil && !n.setLink(r, link) {
		err = currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateQueryCanceled, 0,
			"cancelled before it was sent")
	}
	if err != nil {
		finished.Trailer = currantloom.ResponseTrailer{
			Verdict: currantloom.VerdictOf(err), SQLState: currantloom.SQLStateOf(err), Reason: err.Error(),
		}
	} else {
		finished.Trailer = link.Run(ctx, e.Header, body, out)
		n.setLink(r, nil)
		failed := connectionLost(link)
		finished.Sent = !failed || finished.Trailer.Verdict != currantloom.NotRun
		if failed && ctx.Err() == nil {
			n.reportLostLink(link, e.VM)
		}
	}
	finished.Stamp = n.stamp()
	n.submit(finished)
	return link
}

// reportLostLink reports that a VM has failed, because a link to it was lost. If only the time of the request on the
// link has ended, the VM is checked first: a request may take longer than its client allows, and not end when it is
// cancelled.
func (n *Node) reportLostLink(link currantloom.Link, name currantloom.VMName) {
	reporter, ok := link.(interface{ GaveUp() bool })
	if !ok || !reporter.GaveUp() {
		n.submit(loomcore.PeerFailed{Stamp: n.stamp(), VM: name})
		return
	}
	n.mu.Lock()
	vm, ok := n.state.VM(name)
	n.mu.Unlock()
	if !ok {
		return
	}
	n.spawn(func() {
		if err := n.dialer.Check(n.runCtx, vm); err != nil && n.runCtx.Err() == nil {
			n.submit(loomcore.PeerFailed{Stamp: n.stamp(), VM: name})
		}
	})
}

// connectionLost reports whether a link to another node lost its connection.
func connectionLost(link currantloom.Link) bool {
	reporter, ok := link.(interface{ Failed() bool })
	return ok && reporter.Failed()
}

// setLink records the link of the current attempt. It reports false if the request is already cancelled.
func (n *Node) setLink(r *entryRequest, link cancellableLink) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.link = link
	return !r.cancelled
}

func (n *Node) openLink(ctx context.Context, name currantloom.VMName) (cancellableLink, error) {
	if name == n.config.Reducer.Self {
		return &localLink{node: n}, nil
	}
	n.mu.Lock()
	vm, ok := n.state.VM(name)
	n.mu.Unlock()
	if !ok {
		return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateConnectionFailure, 0,
			"VM %s is not in the list", name)
	}
	link, err := n.dialer.Link(ctx, vm)
	if err != nil {
		if ctx.Err() == nil {
			n.submit(loomcore.PeerFailed{Stamp: n.stamp(), VM: name})
		}
		return nil, err
	}
	return link.(cancellableLink), nil
}

// Cancel cancels a request. The reducer does not know the further requests of an open transaction, so they are
// cancelled through the transaction's link.
func (n *Node) Cancel(key currantloom.RequestKey) {
	n.mu.Lock()
	link := n.transactionRequests[key]
	n.mu.Unlock()
	if link != nil {
		link.Cancel(key)
		return
	}
	n.submit(loomcore.RequestCancelled{Stamp: n.stamp(), Key: key})
}

// cancelForward executes CancelForward. The node's lock must be held.
func (n *Node) cancelForward(key currantloom.RequestKey) {
	r, ok := n.requests[key.Request()]
	if !ok {
		return
	}
	r.cancelled = true
	if link := r.link; link != nil {
		n.spawn(func() { link.Cancel(key) })
	}
}

func (n *Node) removeRequest(key currantloom.RequestKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.requests, key)
}

func (n *Node) deliverToRequest(key currantloom.RequestKey, e loomcore.Effect) {
	if r, ok := n.requests[key]; ok {
		r.put(e)
	}
}

// transactionLink runs the further requests of an open transaction. The reducer of the entry node gets no events for
// them.
type transactionLink struct {
	cancellableLink
	node *Node
}

// Run runs one request of the transaction. A request without a deadline gets the one that the rules give it.
func (l *transactionLink) Run(
	ctx context.Context, header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	n := l.node
	n.mu.Lock()
	if header.Remaining == 0 {
		header.Remaining = n.state.Deadline(header.Database, header.Organisation, header.Statement)
	}
	n.transactionRequests[header.Key] = l.cancellableLink
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.transactionRequests, header.Key)
	}()
	return l.cancellableLink.Run(ctx, header, body, out)
}
