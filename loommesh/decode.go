package loommesh

import (
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantloom.example/currantloom"
)

// maxElements bounds the lists in a message.
const maxElements = 100_000

// decoder reads what encoder writes. The first error ends it; all later fields are zero.
type decoder struct {
	in  *msgpack.Decoder
	err error
}

// read returns the next message of a link.
func read(in io.Reader) (currantloom.Message, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessage {
		return nil, currantloom.ErrInput.New("message of %d bytes", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(in, data); err != nil {
		return nil, err
	}
	return decode(data)
}

// decode returns the message without its length.
func decode(data []byte) (currantloom.Message, error) {
	d := &decoder{in: msgpack.NewDecoder(bytes.NewReader(data))}
	m := d.message()
	if d.err != nil {
		return nil, currantloom.ErrInput.Wrap(d.err, "message between nodes")
	}
	return m, nil
}

func get[T any](d *decoder, read func() (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, err := read()
	if err != nil {
		d.err = err
		return zero
	}
	return v
}

func (d *decoder) number() uint64 { return get(d, d.in.DecodeUint64) }
func (d *decoder) text() string   { return get(d, d.in.DecodeString) }
func (d *decoder) flag() bool     { return get(d, d.in.DecodeBool) }
func (d *decoder) bytes() []byte  { return get(d, d.in.DecodeBytes) }

func (d *decoder) duration() time.Duration {
	return time.Duration(get(d, d.in.DecodeInt64)) * time.Microsecond
}

func (d *decoder) length() int {
	n := get(d, d.in.DecodeArrayLen)
	if n < 0 || n > maxElements {
		if d.err == nil {
			d.err = currantloom.ErrInput.New("list of %d elements", n)
		}
		return 0
	}
	return n
}

func (d *decoder) key() currantloom.RequestKey {
	return currantloom.RequestKey{
		VM: currantloom.VMName(d.text()), Number: d.number(), Attempt: int(d.number()),
	}
}

func (d *decoder) mark() currantloom.Mark {
	term := currantloom.Term(d.number())
	return currantloom.NewMark(term, currantloom.Position(d.number()))
}

func (d *decoder) message() currantloom.Message {
	switch k := kind(d.number()); k {
	case kindCall:
		return d.call()
	case kindAnswer:
		return d.answer()
	case kindCancel:
		return currantloom.CallCancel{Key: d.key()}
	case kindEnd:
		return currantloom.TransactionEnd{Transaction: d.key()}
	case kindPing:
		return currantloom.Ping{Number: d.number(), Service: currantloom.ServiceName(d.text())}
	case kindPong:
		return d.pong()
	case kindUpstreamFailed:
		return currantloom.UpstreamFailed{Report: d.report()}
	case kindLeaving:
		return currantloom.Leaving{}
	case kindHold:
		return currantloom.Hold{
			Service: currantloom.ServiceName(d.text()), For: d.duration(), Commits: d.flag(),
		}
	case kindPromoted:
		return currantloom.Promoted{
			Service: currantloom.ServiceName(d.text()), Upstream: currantloom.ServerName(d.text()),
			Term: currantloom.Term(d.number()),
		}
	case kindItemsRequest:
		return currantloom.ItemsRequest{}
	case kindItems:
		return currantloom.Items{Items: d.items(), Push: d.flag(), Base: d.number(), Revision: d.number()}
	default:
		if d.err == nil {
			d.err = currantloom.ErrInput.New("message of kind %d", k)
		}
		return nil
	}
}

func (d *decoder) call() currantloom.Call {
	m := currantloom.Call{
		Key: d.key(), Service: currantloom.ServiceName(d.text()), Upstream: currantloom.ServerName(d.text()),
		Mode: currantloom.CallMode(d.number()), Transaction: d.key(), Command: d.command(), After: d.mark(),
		MaxAge: d.duration(),
	}
	for range d.length() {
		m.Settings = append(m.Settings, currantloom.Setting{Name: d.text(), Value: d.text()})
	}
	m.Prepared = currantloom.Prepared{Writes: d.flag(), Shape: d.text()}
	m.Timeout, m.Wait, m.Goal = d.duration(), d.duration(), d.duration()
	m.Priority, m.TransactionIdle = int(d.number()), d.duration()
	return m
}

func (d *decoder) command() currantloom.Command {
	return currantloom.Command{
		Kind: currantloom.CommandKind(d.number()), ID: d.text(), Text: d.text(), After: d.mark(), Name: d.text(),
		Argument: d.text(), Writes: d.flag(), Commits: d.flag(), Term: currantloom.Term(d.number()),
	}
}

func (d *decoder) answer() currantloom.CallAnswer {
	return currantloom.CallAnswer{
		Key: d.key(), Verdict: currantloom.Verdict(d.number()), Reply: d.reply(),
		Reason: currantloom.CallReason(d.number()), Wait: d.duration(), Sample: d.sample(),
		Required: d.mark(), Fresh: d.duration(),
	}
}

func (d *decoder) reply() currantloom.Reply {
	var r currantloom.Reply
	for range d.length() {
		r.Rows = append(r.Rows, d.text())
	}
	r.Signature, r.Code, r.Detail = d.text(), currantloom.Code(d.number()), d.text()
	r.State, r.Mark = currantloom.TransactionStatus(d.number()), d.mark()
	if d.flag() {
		r.Status = &currantloom.ReplicationStatus{
			Primary: d.flag(), Term: currantloom.Term(d.number()), Received: d.mark(),
		}
	}
	return r
}

func (d *decoder) sample() currantloom.Sample {
	s := currantloom.Sample{Upstream: currantloom.ServerName(d.text())}
	if s.Upstream != "" {
		s.Service, s.Mark, s.Age = currantloom.ServiceName(d.text()), d.mark(), d.duration()
	}
	return s
}

func (d *decoder) pong() currantloom.Pong {
	m := currantloom.Pong{Number: d.number(), Leaving: d.flag(), StoreReachable: d.flag(), Version: d.number()}
	for range d.length() {
		m.Upstreams = append(m.Upstreams, d.report())
	}
	for range d.length() {
		m.Samples = append(m.Samples, d.sample())
	}
	for range d.length() {
		m.Acked = append(m.Acked, currantloom.AckedMark{Service: currantloom.ServiceName(d.text()), Mark: d.mark()})
	}
	return m
}

func (d *decoder) report() currantloom.UpstreamReport {
	return currantloom.UpstreamReport{
		Name: currantloom.ServerName(d.text()), Service: currantloom.ServiceName(d.text()), Up: d.flag(),
		Down: d.flag(), Stuck: d.flag(), Open: int(d.number()), Wait: d.duration(), Mark: d.mark(),
	}
}

func (d *decoder) items() []currantloom.StoreItem {
	var items []currantloom.StoreItem
	for range d.length() {
		items = append(items, currantloom.StoreItem{Key: d.text(), Value: d.bytes(), Revision: d.number(), Deleted: d.flag()})
	}
	return items
}
