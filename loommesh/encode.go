package loommesh

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantloom.example/currantloom"
)

// kind tells messages apart on the wire.
type kind uint8

const (
	kindCall kind = iota + 1
	kindAnswer
	kindCancel
	kindEnd
	kindPing
	kindPong
	kindLeaving
	kindHold
	kindPromoted
	kindItemsRequest
	kindItems
	kindUpstreamFailed
)

// maxMessage bounds a message in bytes.
const maxMessage = 8 << 20

// lengthSize is the size of the length before a message, in bytes.
const lengthSize = 4

// encoder writes the fields of a message in a fixed order. The first error ends it.
type encoder struct {
	buffer bytes.Buffer
	out    *msgpack.Encoder
	err    error
}

// encode returns the message with its length.
func encode(m currantloom.Message) ([]byte, error) {
	e := &encoder{}
	e.buffer.Write(make([]byte, lengthSize))
	e.out = msgpack.NewEncoder(&e.buffer)
	e.out.UseCompactInts(true)
	e.message(m)
	if e.err != nil {
		return nil, e.err
	}
	data := e.buffer.Bytes()
	size := len(data) - lengthSize
	if size > maxMessage {
		return nil, currantloom.ErrInput.New("message of %d bytes", size)
	}
	binary.BigEndian.PutUint32(data, uint32(size))
	return data, nil
}

func (e *encoder) do(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *encoder) number(v uint64)          { e.do(e.out.EncodeUint(v)) }
func (e *encoder) text(v string)            { e.do(e.out.EncodeString(v)) }
func (e *encoder) flag(v bool)              { e.do(e.out.EncodeBool(v)) }
func (e *encoder) bytes(v []byte)           { e.do(e.out.EncodeBytes(v)) }
func (e *encoder) duration(v time.Duration) { e.do(e.out.EncodeInt(v.Microseconds())) }
func (e *encoder) length(n int)             { e.do(e.out.EncodeArrayLen(n)) }

func (e *encoder) key(k currantloom.RequestKey) {
	e.text(string(k.VM))
	e.number(k.Number)
	e.number(uint64(k.Attempt))
}

func (e *encoder) mark(m currantloom.LogPosition) {
	e.number(uint64(m.Term()))
	e.number(uint64(m.Index()))
}

func (e *encoder) message(m currantloom.Message) {
	switch m := m.(type) {
	case currantloom.Call:
		e.number(uint64(kindCall))
		e.call(m)
	case currantloom.CallResult:
		e.number(uint64(kindAnswer))
		e.answer(m)
	case currantloom.CancelCall:
		e.number(uint64(kindCancel))
		e.key(m.Key)
	case currantloom.RollbackTransaction:
		e.number(uint64(kindEnd))
		e.key(m.Transaction)
	case currantloom.Ping:
		e.number(uint64(kindPing))
		e.number(m.Number)
		e.text(string(m.Service))
	case currantloom.Pong:
		e.number(uint64(kindPong))
		e.pong(m)
	case currantloom.UpstreamFailed:
		e.number(uint64(kindUpstreamFailed))
		e.report(m.Health)
	case currantloom.ShutdownNotice:
		e.number(uint64(kindLeaving))
	case currantloom.BlockWrites:
		e.number(uint64(kindHold))
		e.text(string(m.Service))
		e.duration(m.Duration)
		e.flag(m.BlockCommits)
	case currantloom.PrimaryChanged:
		e.number(uint64(kindPromoted))
		e.text(string(m.Service))
		e.text(string(m.Upstream))
		e.number(uint64(m.Term))
	case currantloom.StoreItemsRequest:
		e.number(uint64(kindItemsRequest))
	case currantloom.StoreItems:
		e.number(uint64(kindItems))
		e.items(m.Items)
		e.flag(m.Delta)
		e.number(m.BaseRevision)
		e.number(m.Revision)
	}
}

func (e *encoder) call(m currantloom.Call) {
	e.key(m.Key)
	e.text(string(m.Service))
	e.text(string(m.Upstream))
	e.number(uint64(m.Mode))
	e.key(m.Transaction)
	e.command(m.Command)
	e.mark(m.MinPosition)
	e.duration(m.MaxAge)
	e.length(len(m.Settings))
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
}

func (e *encoder) command(c currantloom.Command) {
	e.number(uint64(c.Kind))
	e.text(c.ID)
	e.text(c.Text)
	e.mark(c.MinPosition)
	e.text(c.Name)
	e.text(c.Argument)
	e.flag(c.Writes)
	e.flag(c.Commits)
	e.number(uint64(c.Term))
}

func (e *encoder) answer(m currantloom.CallResult) {
	e.key(m.Key)
	e.number(uint64(m.Verdict))
	e.reply(m.Reply)
	e.number(uint64(m.Reason))
	e.duration(m.QueueWait)
	e.sample(m.Sample)
	e.mark(m.RequiredPosition)
	e.duration(m.RequiredAge)
}

func (e *encoder) reply(r currantloom.Reply) {
	e.length(len(r.Rows))
	for _, row := range r.Rows {
		e.text(row)
	}
	e.text(r.Signature)
	e.number(uint64(r.Code))
	e.text(r.Detail)
	e.number(uint64(r.TransactionStatus))
	e.mark(r.Position)
	e.flag(r.ReplicationStatus != nil)
	if r.ReplicationStatus != nil {
		e.flag(r.ReplicationStatus.Primary)
		e.number(uint64(r.ReplicationStatus.Term))
		e.mark(r.ReplicationStatus.Received)
	}
}

func (e *encoder) sample(s currantloom.PositionSample) {
	e.text(string(s.Upstream))
	if s.Upstream == "" {
		return
	}
	e.text(string(s.Service))
	e.mark(s.Position)
	e.duration(s.Age)
}

func (e *encoder) pong(m currantloom.Pong) {
	e.number(m.Number)
	e.flag(m.ShuttingDown)
	e.flag(m.StoreReachable)
	e.number(m.ConfigurationVersion)
	e.length(len(m.Upstreams))
	for _, u := range m.Upstreams {
		e.report(u)
	}
	e.length(len(m.Samples))
	for _, s := range m.Samples {
		e.sample(s)
	}
	e.length(len(m.AckedPositions))
	for _, a := range m.AckedPositions {
		e.text(string(a.Service))
		e.mark(a.Position)
	}
}

func (e *encoder) report(u currantloom.UpstreamHealth) {
	e.text(string(u.Name))
	e.text(string(u.Service))
	e.flag(u.Reachable)
	e.flag(u.ConnectFailed)
	e.flag(u.CommitsStalled)
	e.number(uint64(u.OpenWriteTransactions))
	e.duration(u.QueueWait)
	e.mark(u.Position)
}

func (e *encoder) items(items []currantloom.StoreItem) {
	e.length(len(items))
	for _, item := range items {
		e.text(item.Key)
		e.bytes(item.Value)
		e.number(item.Revision)
		e.flag(item.Deleted)
	}
}
