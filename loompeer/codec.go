package loompeer

import (
	"encoding/json"
	"time"

	"currantloom.example/currantloom"
)

// Types of frames. Headers and trailers have no type.
const (
	// frameProbe asks the owner for a frameProbeReply.
	frameProbe      = "probe"
	frameProbeReply = "alive"
	// frameKeepalive tells the entry node that its request is still running.
	frameKeepalive = "working"
	// frameCancel asks the owner to cancel the running request.
	frameCancel = "cancel"
	// frameClosing tells the entry node that the link accepts no further request.
	frameClosing = "closing"
)

// frame is a CopyData message that is neither a header nor a trailer.
type frame struct {
	Type string `json:"type"`
	// Number is the number of the request that a frameCancel is for.
	Number uint64 `json:"number,omitempty"`
}

// headerMessage is the wire form of currantloom.RequestHeader. Times are in microseconds.
type headerMessage struct {
	Type             string `json:"type,omitempty"`
	VM               string `json:"vm"`
	Number           uint64 `json:"number"`
	Attempt          int    `json:"attempt,omitempty"`
	Upstream         string `json:"server"`
	Organisation     string `json:"caller"`
	Database         string `json:"database"`
	Kind             uint8  `json:"kind"`
	Class            uint8  `json:"class"`
	Statement        string `json:"statement,omitempty"`
	Token            string `json:"token,omitempty"`
	MaxAge           int64  `json:"max_age_us,omitempty"`
	Remaining        int64  `json:"remaining_us"`
	RequestID        string `json:"request_id,omitempty"`
	OpensTransaction bool   `json:"begins,omitempty"`
}

func encodeHeader(h currantloom.RequestHeader) ([]byte, error) {
	return json.Marshal(headerMessage{
		VM: string(h.Key.VM), Number: h.Key.Number, Attempt: h.Key.Attempt,
		Upstream: string(h.Upstream), Organisation: string(h.Organisation),
		Database: string(h.Database), Kind: uint8(h.Kind), Class: uint8(h.Class), Statement: h.Statement,
		Token: h.Token.String(), MaxAge: h.MaxAge.Microseconds(), Remaining: h.Remaining.Microseconds(),
		RequestID: h.RequestID, OpensTransaction: h.OpensTransaction,
	})
}

func decodeHeader(m headerMessage) (currantloom.RequestHeader, error) {
	token, err := currantloom.ParseToken(m.Token, currantloom.DatabaseName(m.Database))
	if err != nil {
		return currantloom.RequestHeader{}, err
	}
	return currantloom.RequestHeader{
		Key:      currantloom.RequestKey{VM: currantloom.VMName(m.VM), Number: m.Number, Attempt: m.Attempt},
		Upstream: currantloom.UpstreamName(m.Upstream), Organisation: currantloom.OrganisationName(m.Organisation),
		Database: currantloom.DatabaseName(m.Database), Kind: currantloom.RequestKind(m.Kind),
		Class: currantloom.RequestClass(m.Class), Statement: m.Statement, Token: token,
		MaxAge:    time.Duration(m.MaxAge) * time.Microsecond,
		Remaining: time.Duration(m.Remaining) * time.Microsecond,
		RequestID: m.RequestID, OpensTransaction: m.OpensTransaction,
	}, nil
}

// trailerMessage is the wire form of currantloom.ResponseTrailer. Times are in microseconds.
type trailerMessage struct {
	Type string `json:"type,omitempty"`
	// Number is the number of the request, so that a trailer cannot end another request.
	Number uint64 `json:"number"`
	// Closing says that the link accepts no further request.
	Closing           bool   `json:"closing,omitempty"`
	Verdict           string `json:"verdict"`
	SQLState          string `json:"code,omitempty"`
	Reason            string `json:"reason,omitempty"`
	RetryAfter        int64  `json:"retry_after_us,omitempty"`
	Database          string `json:"database,omitempty"`
	Token             string `json:"token,omitempty"`
	TransactionStatus byte   `json:"transaction,omitempty"`
	ResponseStarted   bool   `json:"started,omitempty"`
	UpstreamAnswered  bool   `json:"answered,omitempty"`
	Term              uint64 `json:"term,omitempty"`
	Primary           string `json:"primary,omitempty"`
}

func encodeTrailer(t currantloom.ResponseTrailer, number uint64, closing bool) ([]byte, error) {
	return json.Marshal(trailerMessage{
		Number: number, Closing: closing,
		Verdict: t.Verdict.String(), SQLState: string(t.SQLState), Reason: t.Reason, RetryAfter: t.RetryAfter.Microseconds(),
		Database: string(t.Token.Database()), Token: t.Token.String(), TransactionStatus: byte(t.TransactionStatus),
		ResponseStarted: t.ResponseStarted, UpstreamAnswered: t.UpstreamAnswered,
		Term: uint64(t.Term), Primary: string(t.Primary),
	})
}

func decodeTrailer(m trailerMessage) (currantloom.ResponseTrailer, error) {
	token, err := currantloom.ParseToken(m.Token, currantloom.DatabaseName(m.Database))
	if err != nil {
		return currantloom.ResponseTrailer{}, err
	}
	return currantloom.ResponseTrailer{
		Verdict: currantloom.ParseVerdict(m.Verdict), SQLState: currantloom.SQLState(m.SQLState), Reason: m.Reason,
		RetryAfter: time.Duration(m.RetryAfter) * time.Microsecond, Token: token,
		TransactionStatus: currantloom.TransactionStatus(m.TransactionStatus), ResponseStarted: m.ResponseStarted,
		UpstreamAnswered: m.UpstreamAnswered,
		Term:             currantloom.Term(m.Term), Primary: currantloom.UpstreamName(m.Primary),
	}, nil
}
