package loommesh

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantloom.example/currantloom"
)

// messageKind is the first value of an encoded message.
type messageKind uint8

const (
	kindCall messageKind = iota + 1
	kindCallResult
	kindCancelCall
	kindRollbackTransaction
	kindPing
	kindPong
	kindShutdownNotice
	kindBlockWrites
	kindPrimaryChanged
	kindStoreItemsRequest
	kindStoreItems
	kindUpstreamFailed
	kindTokenRequest
	kindTokenAnswer
	kindReplicaPositions
	kindStoreProofRequest
	kindCompressed
	kindCommitsBlocked
)

// maxMessageSize bounds an encoded message in bytes, without its length prefix.
const maxMessageSize = 8 << 20

// lengthPrefixSize is the size in bytes of the big-endian length before a message.
const lengthPrefixSize = 4

// encoder writes the fields of a message in a fixed order. It keeps the first error.
type encoder struct {
	buffer bytes.Buffer
	out    *msgpack.Encoder
	err    error
}

// newEncoder returns an encoder that leaves room for the length prefix.
func newEncoder() *encoder {
	e := &encoder{}
	e.buffer.Write(make([]byte, lengthPrefixSize))
	e.out = msgpack.NewEncoder(&e.buffer)
	e.out.UseCompactInts(true)
	return e
}

// encode returns the encoded message with its length prefix. A large message is compressed.
func encode(m currantloom.Message) ([]byte, error) {
	e := newEncoder()
	e.message(m)
	if size := e.buffer.Len() - lengthPrefixSize; size > maxMessageSize {
		return nil, currantloom.ErrInput.New("message of %d bytes", size)
	}
	if e.err == nil && e.buffer.Len() >= compressFrom {
		compressed, err := compress(e.buffer.Bytes()[lengthPrefixSize:])
		e = newEncoder()
		e.setError(err)
		e.number(uint64(kindCompressed))
		e.bytes(compressed)
	}
	return e.finish()
}

// finish writes the length prefix and returns the encoded message.
func (e *encoder) finish() ([]byte, error) {
	if e.err != nil {
		return nil, e.err
	}
	data := e.buffer.Bytes()
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthPrefixSize))
	return data, nil
}

// setError keeps the first error.
func (e *encoder) setError(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *encoder) number(v uint64)          { e.setError(e.out.EncodeUint(v)) }
func (e *encoder) text(v string)            { e.setError(e.out.EncodeString(v)) }
func (e *encoder) flag(v bool)              { e.setError(e.out.EncodeBool(v)) }
func (e *encoder) bytes(v []byte)           { e.setError(e.out.EncodeBytes(v)) }
func (e *encoder) duration(v time.Duration) { e.setError(e.out.EncodeInt(v.Microseconds())) }
func (e *encoder) listLength(n int)         { e.setError(e.out.EncodeArrayLen(n)) }

func (e *encoder) key(k currantloom.RequestKey) {
	e.text(string(k.VM))
	e.number(k.Number)
	e.number(uint64(k.Attempt))
}

func (e *encoder) position(p currantloom.LogPosition) {
	e.number(uint64(p.Term()))
	e.number(uint64(p.Index()))
}

func (e *encoder) message(m currantloom.Message) {
	switch m := m.(type) {
	case currantloom.Call:
		e.number(uint64(kindCall))
		e.call(m)
	case currantloom.CallResult:
		e.number(uint64(kindCallResult))
		e.callResult(m)
	case currantloom.CancelCall:
		e.number(uint64(kindCancelCall))
		e.key(m.Key)
		e.flag(m.ReportResult)
	case currantloom.RollbackTransaction:
		e.number(uint64(kindRollbackTransaction))
		e.key(m.Transaction)
	case currantloom.Ping:
		e.number(uint64(kindPing))
		e.number(m.Number)
		e.text(string(m.Service))
	case currantloom.ReplicaPositions:
		e.number(uint64(kindReplicaPositions))
		e.upstreamPositions(m.Positions)
	case currantloom.Pong:
		e.number(uint64(kindPong))
		e.pong(m)
	case currantloom.UpstreamFailed:
		e.number(uint64(kindUpstreamFailed))
		e.upstreamHealth(m.Health)
	case currantloom.ShutdownNotice:
		e.number(uint64(kindShutdownNotice))
	case currantloom.BlockWrites:
		e.number(uint64(kindBlockWrites))
		e.text(string(m.Service))
		e.duration(m.Duration)
		e.flag(m.BlockCommits)
		e.text(string(m.Successor))
		e.duration(m.CommitTimeout)
		e.number(m.Number)
	case currantloom.CommitsBlocked:
		e.number(uint64(kindCommitsBlocked))
		e.text(string(m.Service))
		e.number(m.Number)
		e.position(m.Acked)
	case currantloom.PrimaryChanged:
		e.number(uint64(kindPrimaryChanged))
		e.text(string(m.Service))
		e.text(string(m.Upstream))
		e.number(uint64(m.Term))
		e.position(m.Log)
	case currantloom.StoreItemsRequest:
		e.number(uint64(kindStoreItemsRequest))
	case currantloom.StoreItems:
		e.number(uint64(kindStoreItems))
		e.storeItems(m.Items)
		e.flag(m.Delta)
		e.storePosition(m.Base)
		e.storePosition(m.Position)
		e.number(m.Request)
		e.duration(m.Age)
	case currantloom.StoreProofRequest:
		e.number(uint64(kindStoreProofRequest))
		e.number(m.Number)
		e.storePosition(m.Position)
		e.flag(m.Copy)
	case currantloom.TokenRequest:
		e.number(uint64(kindTokenRequest))
		e.tokenRequest(m)
	case currantloom.TokenAnswer:
		e.number(uint64(kindTokenAnswer))
		e.tokenAnswer(m)
	}
}

func (e *encoder) call(m currantloom.Call) {
	e.key(m.Key)
	e.text(string(m.Service))
	e.text(string(m.Upstream))
	e.number(uint64(m.Mode))
	e.key(m.Transaction)
	e.command(m.Command)
	e.position(m.MinPosition)
	e.duration(m.MaxAge)
	e.position(m.AgePosition)
	e.listLength(len(m.Settings))
	for _, s := range m.Settings {
		e.text(s.Name)
		e.text(s.Value)
	}
	e.flag(m.Prepared.Writes)
	e.text(m.Prepared.Definition)
	e.duration(m.Timeout)
	e.duration(m.QueueTimeout)
	e.duration(m.LatencyBudget)
	e.number(uint64(m.Priority))
	e.duration(m.IdleTransactionTimeout)
	e.text(string(m.Organisation))
}

func (e *encoder) command(c currantloom.Command) {
	e.number(uint64(c.Kind))
	e.text(c.ID)
	e.text(c.Text)
	e.position(c.MinPosition)
	e.text(c.Name)
	e.text(c.Argument)
	e.flag(c.Writes)
	e.flag(c.Commits)
	e.number(uint64(c.Term))
}

func (e *encoder) callResult(m currantloom.CallResult) {
	e.key(m.Key)
	e.number(uint64(m.Verdict))
	e.reply(m.Reply)
	e.number(uint64(m.Reason))
	e.duration(m.QueueWait)
	e.load(m.Load)
	e.sample(m.Sample)
	e.position(m.RequiredPosition)
	e.duration(m.RequiredAge)
	e.duration(m.RetryAfter)
	e.upstreamPositions(m.Lagging)
}

func (e *encoder) upstreamPositions(positions []currantloom.UpstreamPosition) {
	e.listLength(len(positions))
	for _, p := range positions {
		e.text(string(p.Upstream))
		e.position(p.Position)
		e.duration(p.Age)
	}
}

func (e *encoder) reply(r currantloom.Reply) {
	e.listLength(len(r.Rows))
	for _, row := range r.Rows {
		e.text(row)
	}
	e.text(r.Signature)
	e.number(uint64(r.Code))
	e.text(r.Detail)
	e.number(uint64(r.TransactionStatus))
	e.position(r.Position)
	e.flag(r.ReplicationStatus != nil)
	if r.ReplicationStatus != nil {
		e.flag(r.ReplicationStatus.Primary)
		e.number(uint64(r.ReplicationStatus.Term))
		e.position(r.ReplicationStatus.Received)
		e.number(uint64(r.ReplicationStatus.Held))
	}
}

func (e *encoder) sample(s currantloom.PositionSample) {
	e.text(string(s.Upstream))
	if s.Upstream == "" {
		return
	}
	e.text(string(s.Service))
	e.position(s.Position)
	e.duration(s.Age)
}

func (e *encoder) pong(m currantloom.Pong) {
	e.number(m.Number)
	e.flag(m.ShuttingDown)
	e.flag(m.StoreReachable)
	e.number(m.ConfigurationVersion)
	e.listLength(len(m.Upstreams))
	for _, u := range m.Upstreams {
		e.upstreamHealth(u)
	}
	e.listLength(len(m.Samples))
	for _, s := range m.Samples {
		e.sample(s)
	}
	e.listLength(len(m.AckedPositions))
	for _, a := range m.AckedPositions {
		e.text(string(a.Service))
		e.position(a.Position)
	}
	e.pongEnd(m)
}

// pongEnd writes the fields of a pong that earlier versions do not have, up to the last one that is not empty.
func (e *encoder) pongEnd(m currantloom.Pong) {
	hasLeases := !m.FailoverLease.IsZero() || len(m.Changing) > 0 || m.HoldsCommitLease || len(m.Announced) > 0
	if len(m.Drains) == 0 && !hasLeases {
		return
	}
	e.drains(m.Drains)
	if hasLeases {
		e.pongLeases(m)
	}
}

func (e *encoder) pongLeases(m currantloom.Pong) {
	e.storePosition(m.FailoverLease)
	e.listLength(len(m.Changing))
	for _, name := range m.Changing {
		e.text(string(name))
	}
	e.flag(m.HoldsCommitLease)
	e.listLength(len(m.Announced))
	for _, a := range m.Announced {
		e.text(string(a.Service))
		e.text(string(a.Upstream))
		e.duration(a.Age)
	}
}

func (e *encoder) drains(drains []currantloom.UpstreamDrain) {
	e.listLength(len(drains))
	for _, d := range drains {
		e.text(string(d.Upstream))
		e.setError(e.out.EncodeInt(d.Incarnation))
		e.duration(d.Age)
	}
}

func (e *encoder) upstreamHealth(u currantloom.UpstreamHealth) {
	e.text(string(u.Name))
	e.text(string(u.Service))
	e.flag(u.Reachable)
	e.flag(u.ConnectFailed)
	e.flag(u.CommitsStalled)
	e.number(uint64(u.OpenWriteTransactions))
	e.duration(u.QueueWait)
	e.load(u.Load)
	e.position(u.Position)
}

// load writes the run times that are known, after a bit mask of their kinds: a result carries one at most, and each
// takes 3 to 5 bytes.
func (e *encoder) load(l currantloom.UpstreamLoad) {
	known := uint64(0)
	for kind, run := range l.RunTimes {
		if run > 0 {
			known |= 1 << kind
		}
	}
	e.number(known)
	for _, run := range l.RunTimes {
		if run > 0 {
			e.duration(run)
		}
	}
	e.number(uint64(max(0, l.Jobs)))
	e.number(uint64(max(0, l.FailurePercent)))
	e.number(uint64(max(0, l.LostPercent)))
}

func (e *encoder) storePosition(p currantloom.StorePosition) {
	e.number(uint64(p.Era()))
	e.number(p.Revision())
}

func (e *encoder) storeItems(items []currantloom.StoreItem) {
	e.listLength(len(items))
	for _, item := range items {
		e.text(item.Key)
		e.bytes(item.Value)
		e.storePosition(item.Position)
		e.flag(item.Deleted)
	}
}
