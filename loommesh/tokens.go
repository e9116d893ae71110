package loommesh

import (
	"time"

	"currantloom.example/currantloom"
)

// maxTokens bounds the counts of tokens in a message, so that a faulty peer cannot make the sums of counts overflow.
const maxTokens = 1_000_000_000

func (e *encoder) tokenRequest(m currantloom.TokenRequest) {
	e.number(m.Incarnation)
	e.number(uint64(m.Shard))
	e.number(uint64(m.Shards))
	e.duration(m.Sent)
	e.number(flags(m.Fresh, m.Full))
	e.number(m.Epoch)
	e.duration(m.Answer)
	e.milliseconds(m.Elapsed)
	e.listLength(len(m.Demands))
	for _, d := range m.Demands {
		e.text(string(d.Organisation))
		e.number(uint64(d.Waiting))
		e.number(uint64(d.Urgent))
		e.number(uint64(d.Wanted))
		e.number(uint64(d.Returned))
		e.number(uint64(d.Outstanding))
		e.number(uint64(d.Share))
		e.milliseconds(d.HandedOver)
		e.number(flags(d.Pooled, d.Reserve))
		e.number(uint64(d.Rate))
	}
}

func (e *encoder) tokenAnswer(m currantloom.TokenAnswer) {
	e.number(uint64(m.Shard))
	e.number(uint64(m.Shards))
	e.number(m.Epoch)
	e.duration(m.Time)
	e.duration(m.Asked)
	e.flag(m.Review)
	e.listLength(len(m.Grants))
	for _, g := range m.Grants {
		e.text(string(g.Organisation))
		e.number(uint64(g.Tokens))
		e.number(uint64(g.Refused))
		e.milliseconds(g.RetryAfter)
		e.number(uint64(g.Share))
	}
}

// flags packs two flags into one number.
func flags(a, b bool) uint64 {
	var v uint64
	if a {
		v |= 1
	}
	if b {
		v |= 2
	}
	return v
}

func (d *decoder) tokenRequest() currantloom.TokenRequest {
	m := currantloom.TokenRequest{
		Incarnation: d.number(), Shard: d.tokens(), Shards: d.tokens(), Sent: d.duration(),
	}
	f := d.number()
	m.Fresh, m.Full = f&1 != 0, f&2 != 0
	m.Epoch, m.Answer, m.Elapsed = d.number(), d.duration(), d.milliseconds()
	for range d.listLength() {
		if d.err != nil {
			break
		}
		m.Demands = append(m.Demands, d.tokenDemand())
	}
	return m
}

func (d *decoder) tokenDemand() currantloom.TokenDemand {
	m := currantloom.TokenDemand{
		Organisation: currantloom.OrganisationName(d.text()), Waiting: d.tokens(), Urgent: d.tokens(), Wanted: d.tokens(),
		Returned: d.tokens(), Outstanding: d.tokens(), Share: uint32(d.tokens()), HandedOver: d.milliseconds(),
	}
	f := d.number()
	m.Pooled, m.Reserve = f&1 != 0, f&2 != 0
	m.Rate = uint32(d.tokens())
	return m
}

func (d *decoder) tokenAnswer() currantloom.TokenAnswer {
	m := currantloom.TokenAnswer{
		Shard: d.tokens(), Shards: d.tokens(), Epoch: d.number(), Time: d.duration(), Asked: d.duration(), Review: d.flag(),
	}
	for range d.listLength() {
		if d.err != nil {
			break
		}
		m.Grants = append(m.Grants, currantloom.TokenGrant{
			Organisation: currantloom.OrganisationName(d.text()), Tokens: d.tokens(), Refused: d.tokens(),
			RetryAfter: d.milliseconds(), Share: uint32(d.tokens()),
		})
	}
	return m
}

// milliseconds writes a duration that is not negative, rounded down. These messages are many, so they are kept small.
func (e *encoder) milliseconds(v time.Duration) { e.number(uint64(max(0, v).Milliseconds())) }

func (d *decoder) milliseconds() time.Duration { return time.Duration(d.tokens()) * time.Millisecond }

func (d *decoder) tokens() int {
	n := d.number()
	if n > maxTokens && d.err == nil {
		d.err = currantloom.ErrInput.New("count of %d", n)
	}
	return int(min(n, maxTokens))
}
