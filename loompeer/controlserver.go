package loompeer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

// maxAcceptedControlConns bounds the accepted control connections. With 1,200 nodes that open 16 connections each, a
// node accepts about 16 on average.
const maxAcceptedControlConns = 256

// ControlServer serves the control protocol of a node. The calls of one connection are handled one after the other.
type ControlServer struct {
	Handler currantloom.ControlHandler

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]bool
	closed bool
	wg     sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (s *ControlServer) Serve(listener net.Listener) error {
	return loomwire.Accept(listener, s.add)
}

func (s *ControlServer) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxAcceptedControlConns {
		_ = conn.Close()
		return
	}
	if s.conns == nil {
		s.conns = make(map[*jsonrpc2.Conn]bool)
	}
	rpc := newControlConn(conn, jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
	s.conns[rpc] = true
	s.wg.Go(func() {
		<-rpc.DisconnectNotify()
		_ = rpc.Close()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	})
}

// Close closes all connections and waits until they have ended.
func (s *ControlServer) Close() error {
	s.mu.Lock()
	s.closed = true
	for rpc := range s.conns {
		_ = rpc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

func (s *ControlServer) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodPush:
		var m pushMessage
		if err := decodeParams(r, &m); err != nil {
			return nil, err
		}
		s.Handler.PushRules(currantloom.VMName(m.From), m.rulesUpdate())
		return nil, nil
	case methodPull:
		var m pullMessage
		if err := decodeParams(r, &m); err != nil {
			return nil, err
		}
		return s.pull(m), nil
	case methodStatus:
		return newStatusMessage(s.Handler.Status()), nil
	case methodCancel:
		var m cancelMessage
		if err := decodeParams(r, &m); err != nil {
			return nil, err
		}
		s.cancel(m)
		return nil, nil
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
}

func decodeParams(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

func (s *ControlServer) pull(m pullMessage) pullResult {
	ownRevision, update := s.Handler.PullRules(currantloom.VMName(m.From), currantloom.RulesRevision(m.Revision))
	result := pullResult{Revision: uint64(ownRevision)}
	if update != nil {
		message := newPushMessage("", *update)
		result.Update = &message
	}
	return result
}

func (s *ControlServer) cancel(m cancelMessage) {
	if m.PID != 0 {
		s.Handler.CancelSession(m.PID, m.Secret)
		return
	}
	s.Handler.CancelRequest(currantloom.RequestKey{VM: currantloom.VMName(m.VM), Number: m.Number})
}
