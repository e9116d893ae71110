package loommesh

import (
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantloom.example/currantloom"
)

// maxListLength bounds the number of elements of a list in a message.
const maxListLength = 100_000

// decoder reads what encoder writes. After the first error all fields are zero.
type decoder struct {
	in  *msgpack.Decoder
	err error
}

// readMessage returns the next message of a link.
func readMessage(in io.Reader) (currantloom.Message, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxMessageSize {
		return nil, currantloom.ErrInput.New("message of %d bytes", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(in, data); err != nil {
		return nil, err
	}
	return decode(data)
}

// decode decodes a message without its length prefix.
func decode(data []byte) (currantloom.Message, error) {
	d := newDecoder(data)
	k := messageKind(d.number())
	if k == kindCompressed {
		inner, err := decompress(d.bytes())
		d.setError(err)
		d = &decoder{in: newDecoder(inner).in, err: d.err}
		k = messageKind(d.number())
	}
	m := d.message(k)
	if d.err != nil {
		return nil, currantloom.ErrInput.Wrap(d.err, "message between nodes")
	}
	return m, nil
}

func newDecoder(data []byte) *decoder {
	return &decoder{in: msgpack.NewDecoder(bytes.NewReader(data))}
}

// setError keeps the first error.
func (d *decoder) setError(err error) {
	if d.err == nil {
		d.err = err
	}
}

// decodeField calls decode, unless an earlier field failed.
func decodeField[T any](d *decoder, decode func() (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, err := decode()
	if err != nil {
		d.err = err
		return zero
	}
	return v
}

func (d *decoder) number() uint64 { return decodeField(d, d.in.DecodeUint64) }
func (d *decoder) text() string   { return decodeField(d, d.in.DecodeString) }
func (d *decoder) flag() bool     { return decodeField(d, d.in.DecodeBool) }
func (d *decoder) bytes() []byte  { return decodeField(d, d.in.DecodeBytes) }

func (d *decoder) duration() time.Duration {
	return time.Duration(decodeField(d, d.in.DecodeInt64)) * time.Microsecond
}

func (d *decoder) listLength() int {
	n := decodeField(d, d.in.DecodeArrayLen)
	if n < 0 || n > maxListLength {
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

func (d *decoder) position() currantloom.LogPosition {
	term := currantloom.Term(d.number())
	return currantloom.NewLogPosition(term, currantloom.LogIndex(d.number()))
}

func (d *decoder) message(k messageKind) currantloom.Message {
	switch k {
	case kindCall:
		return d.call()
	case kindCallResult:
		return d.callResult()
	case kindCancelCall:
		return currantloom.CancelCall{Key: d.key(), ReportResult: d.flag()}
	case kindRollbackTransaction:
		return currantloom.RollbackTransaction{Transaction: d.key()}
	case kindPing:
		return currantloom.Ping{Number: d.number(), Service: currantloom.ServiceName(d.text())}
	case kindReplicaPositions:
		return currantloom.ReplicaPositions{Positions: d.upstreamPositions()}
	case kindPong:
		return d.pong()
	case kindUpstreamFailed:
		return currantloom.UpstreamFailed{Health: d.upstreamHealth()}
	case kindShutdownNotice:
		return currantloom.ShutdownNotice{}
	case kindBlockWrites:
		return currantloom.BlockWrites{
			Service: currantloom.ServiceName(d.text()), Duration: d.duration(), BlockCommits: d.flag(),
			Successor: currantloom.UpstreamName(d.text()), CommitTimeout: d.duration(), Number: d.number(),
		}
	case kindCommitsBlocked:
		return currantloom.CommitsBlocked{
			Service: currantloom.ServiceName(d.text()), Number: d.number(), Acked: d.position(),
		}
	case kindPrimaryChanged:
		return currantloom.PrimaryChanged{
			Service: currantloom.ServiceName(d.text()), Upstream: currantloom.UpstreamName(d.text()),
			Term: currantloom.Term(d.number()), Log: d.position(),
		}
	case kindStoreItemsRequest:
		return currantloom.StoreItemsRequest{}
	case kindStoreItems:
		return currantloom.StoreItems{
			Items: d.storeItems(), Delta: d.flag(), Base: d.storePosition(), Position: d.storePosition(),
			Request: d.number(), Age: d.duration(),
		}
	case kindStoreProofRequest:
		return currantloom.StoreProofRequest{Number: d.number(), Position: d.storePosition(), Copy: d.flag()}
	case kindTokenRequest:
		return d.tokenRequest()
	case kindTokenAnswer:
		return d.tokenAnswer()
	default:
		if d.err == nil {
			d.err = currantloom.ErrInput.New("message of kind %d", k)
		}
		return nil
	}
}

func (d *decoder) call() currantloom.Call {
	m := currantloom.Call{
		Key: d.key(), Service: currantloom.ServiceName(d.text()), Upstream: currantloom.UpstreamName(d.text()),
		Mode: currantloom.CallMode(d.number()), Transaction: d.key(), Command: d.command(), MinPosition: d.position(),
		MaxAge: d.duration(), AgePosition: d.position(),
	}
	for range d.listLength() {
		m.Settings = append(m.Settings, currantloom.SessionSetting{Name: d.text(), Value: d.text()})
	}
	m.Prepared = currantloom.PreparedStatement{Writes: d.flag(), Definition: d.text()}
	m.Timeout, m.QueueTimeout, m.LatencyBudget = d.duration(), d.duration(), d.duration()
	m.Priority, m.IdleTransactionTimeout = int(d.number()), d.duration()
	m.Organisation = currantloom.OrganisationName(d.text())
	return m
}

func (d *decoder) command() currantloom.Command {
	return currantloom.Command{
		Kind: currantloom.CommandKind(d.number()), ID: d.text(), Text: d.text(), MinPosition: d.position(), Name: d.text(),
		Argument: d.text(), Writes: d.flag(), Commits: d.flag(), Term: currantloom.Term(d.number()),
	}
}

func (d *decoder) callResult() currantloom.CallResult {
	return currantloom.CallResult{
		Key: d.key(), Verdict: currantloom.Verdict(d.number()), Reply: d.reply(),
		Reason: currantloom.CallFailureReason(d.number()), QueueWait: d.duration(), Load: d.load(), Sample: d.sample(),
		RequiredPosition: d.position(), RequiredAge: d.duration(), RetryAfter: d.duration(),
		Lagging: d.upstreamPositions(),
	}
}

func (d *decoder) upstreamPositions() []currantloom.UpstreamPosition {
	var positions []currantloom.UpstreamPosition
	for range d.listLength() {
		positions = append(positions, currantloom.UpstreamPosition{
			Upstream: currantloom.UpstreamName(d.text()), Position: d.position(), Age: d.duration(),
		})
	}
	return positions
}

func (d *decoder) reply() currantloom.Reply {
	var r currantloom.Reply
	for range d.listLength() {
		r.Rows = append(r.Rows, d.text())
	}
	r.Signature, r.Code, r.Detail = d.text(), currantloom.ReplyCode(d.number()), d.text()
	r.TransactionStatus, r.Position = currantloom.TransactionStatus(d.number()), d.position()
	if d.flag() {
		r.ReplicationStatus = &currantloom.ReplicationStatus{
			Primary: d.flag(), Term: currantloom.Term(d.number()), Received: d.position(),
			Held: currantloom.Term(d.number()),
		}
	}
	return r
}

func (d *decoder) sample() currantloom.PositionSample {
	s := currantloom.PositionSample{Upstream: currantloom.UpstreamName(d.text())}
	if s.Upstream != "" {
		s.Service, s.Position, s.Age = currantloom.ServiceName(d.text()), d.position(), d.duration()
	}
	return s
}

func (d *decoder) pong() currantloom.Pong {
	m := currantloom.Pong{
		Number: d.number(), ShuttingDown: d.flag(), StoreReachable: d.flag(), ConfigurationVersion: d.number(),
	}
	for range d.listLength() {
		m.Upstreams = append(m.Upstreams, d.upstreamHealth())
	}
	for range d.listLength() {
		m.Samples = append(m.Samples, d.sample())
	}
	for range d.listLength() {
		m.AckedPositions = append(m.AckedPositions, currantloom.AckedPosition{
			Service: currantloom.ServiceName(d.text()), Position: d.position(),
		})
	}
	if d.err == nil && !d.isAtEnd() {
		m.Drains = d.drains()
	}
	if d.err == nil && !d.isAtEnd() {
		d.pongLeases(&m)
	}
	return m
}

// isAtEnd reports whether all fields of the message have been read.
func (d *decoder) isAtEnd() bool {
	_, err := d.in.PeekCode()
	return err != nil
}

// pongLeases reads the last fields of a pong.
func (d *decoder) pongLeases(m *currantloom.Pong) {
	m.FailoverLease = d.storePosition()
	for range d.listLength() {
		m.Changing = append(m.Changing, currantloom.ServiceName(d.text()))
	}
	m.HoldsCommitLease = d.flag()
	for range d.listLength() {
		m.Announced = append(m.Announced, currantloom.AnnouncedPromotion{
			Service: currantloom.ServiceName(d.text()), Upstream: currantloom.UpstreamName(d.text()), Age: d.duration(),
		})
	}
}

func (d *decoder) drains() []currantloom.UpstreamDrain {
	var drains []currantloom.UpstreamDrain
	for range d.listLength() {
		drains = append(drains, currantloom.UpstreamDrain{
			Upstream: currantloom.UpstreamName(d.text()), Incarnation: decodeField(d, d.in.DecodeInt64), Age: d.duration(),
		})
	}
	return drains
}

func (d *decoder) upstreamHealth() currantloom.UpstreamHealth {
	return currantloom.UpstreamHealth{
		Name: currantloom.UpstreamName(d.text()), Service: currantloom.ServiceName(d.text()), Reachable: d.flag(),
		ConnectFailed: d.flag(), CommitsStalled: d.flag(), OpenWriteTransactions: int(d.number()),
		QueueWait: d.duration(), Load: d.load(), Position: d.position(),
	}
}

func (d *decoder) load() currantloom.UpstreamLoad {
	var l currantloom.UpstreamLoad
	known := d.number()
	for kind := range l.RunTimes {
		if known&(1<<kind) != 0 {
			l.RunTimes[kind] = d.duration()
		}
	}
	l.Jobs, l.FailurePercent, l.LostPercent = int(d.number()), int(d.number()), int(d.number())
	return l
}

func (d *decoder) storePosition() currantloom.StorePosition {
	era := currantloom.StoreEra(d.number())
	return currantloom.NewStorePosition(era, d.number())
}

func (d *decoder) storeItems() []currantloom.StoreItem {
	var items []currantloom.StoreItem
	for range d.listLength() {
		items = append(items, currantloom.StoreItem{
			Key: d.text(), Value: d.bytes(), Position: d.storePosition(), Deleted: d.flag(),
		})
	}
	return items
}
