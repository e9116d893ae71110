package loompeer

import (
	"encoding/json"
	"time"

	"currantloom.example/currantloom"
)

// Types of the messages in CopyData besides headers and trailers, which have no type.
const (
	// frameProbe asks an idle peer for frameAlive.
	frameProbe = "probe"
	frameAlive = "alive"
	// frameWorking tells the entry node that its request still runs.
	frameWorking = "working"
	// frameCancel asks the carrier to give up the running request.
	frameCancel = "cancel"
	// frameClosing tells the entry node that the link takes no further request.
	frameClosing = "closing"
)

// frame is a message without a header or a trailer.
type frame struct {
	Type string `json:"type"`
	// Number is the number of the request that a cancel is for.
	Number uint64 `json:"number,omitempty"`
}

// headerMessage is the wire form of currantloom.RequestHeader. Times are in microseconds.
type headerMessage struct {
	Type      string `json:"type,omitempty"`
	VM        string `json:"vm"`
	Number    uint64 `json:"number"`
	Attempt   int    `json:"attempt,omitempty"`
	Server    string `json:"server"`
	Caller    string `json:"caller"`
	Database  string `json:"database"`
	Kind      uint8  `json:"kind"`
	Class     uint8  `json:"class"`
	Statement string `json:"statement,omitempty"`
	Token     string `json:"token,omitempty"`
	MaxAge    int64  `json:"max_age_us,omitempty"`
	Remaining int64  `json:"remaining_us"`
	RequestID string `json:"request_id,omitempty"`
	Begins    bool   `json:"begins,omitempty"`
}

func encodeHeader(h currantloom.RequestHeader) ([]byte, error) {
	return json.Marshal(headerMessage{
		VM: string(h.Key.VM), Number: h.Key.Number, Attempt: h.Key.Attempt,
		Server: string(h.Upstream), Caller: string(h.Organisation),
		Database: string(h.Database), Kind: uint8(h.Kind), Class: uint8(h.Class), Statement: h.Statement,
		Token: h.Token.String(), MaxAge: h.MaxAge.Microseconds(), Remaining: h.Remaining.Microseconds(),
		RequestID: h.RequestID, Begins: h.OpensTransaction,
	})
}

func decodeHeader(m headerMessage) (currantloom.RequestHeader, error) {
	token, err := currantloom.ParseToken(m.Token, currantloom.DatabaseName(m.Database))
	if err != nil {
		return currantloom.RequestHeader{}, err
	}
	return currantloom.RequestHeader{
		Key:      currantloom.RequestKey{VM: currantloom.VMName(m.VM), Number: m.Number, Attempt: m.Attempt},
		Upstream: currantloom.UpstreamName(m.Server), Organisation: currantloom.OrganisationName(m.Caller),
		Database: currantloom.DatabaseName(m.Database), Kind: currantloom.RequestKind(m.Kind),
		Class: currantloom.RequestClass(m.Class), Statement: m.Statement, Token: token,
		MaxAge:    time.Duration(m.MaxAge) * time.Microsecond,
		Remaining: time.Duration(m.Remaining) * time.Microsecond, RequestID: m.RequestID, OpensTransaction: m.Begins,
	}, nil
}

// trailerMessage is the wire form of currantloom.ResponseTrailer. Times are in microseconds.
type trailerMessage struct {
	Type string `json:"type,omitempty"`
	// Number is the number of the request, so that a trailer cannot end another one.
	Number uint64 `json:"number"`
	// Closing says that the link takes no further request.
	Closing     bool   `json:"closing,omitempty"`
	Verdict     string `json:"verdict"`
	Code        string `json:"code,omitempty"`
	Reason      string `json:"reason,omitempty"`
	RetryAfter  int64  `json:"retry_after_us,omitempty"`
	Database    string `json:"database,omitempty"`
	Token       string `json:"token,omitempty"`
	Transaction byte   `json:"transaction,omitempty"`
	Started     bool   `json:"started,omitempty"`
	Answered    bool   `json:"answered,omitempty"`
	Term        uint64 `json:"term,omitempty"`
	Primary     string `json:"primary,omitempty"`
}

func encodeTrailer(t currantloom.ResponseTrailer, number uint64, closing bool) ([]byte, error) {
	return json.Marshal(trailerMessage{
		Number: number, Closing: closing,
		Verdict: t.Verdict.String(), Code: string(t.SQLState), Reason: t.Reason, RetryAfter: t.RetryAfter.Microseconds(),
		Database: string(t.Token.Database()), Token: t.Token.String(), Transaction: byte(t.TransactionStatus),
		Started: t.ResponseStarted, Answered: t.ServerAnswered, Term: uint64(t.Term), Primary: string(t.Primary),
	})
}

func decodeTrailer(m trailerMessage) (currantloom.ResponseTrailer, error) {
	token, err := currantloom.ParseToken(m.Token, currantloom.DatabaseName(m.Database))
	if err != nil {
		return currantloom.ResponseTrailer{}, err
	}
	return currantloom.ResponseTrailer{
		Verdict: currantloom.ParseVerdict(m.Verdict), SQLState: currantloom.SQLState(m.Code), Reason: m.Reason,
		RetryAfter: time.Duration(m.RetryAfter) * time.Microsecond, Token: token,
		TransactionStatus: currantloom.TransactionStatus(m.Transaction), ResponseStarted: m.Started,
		ServerAnswered: m.Answered,
		Term:           currantloom.Term(m.Term), Primary: currantloom.UpstreamName(m.Primary),
	}, nil
}
