package loommesh

import (
	"bytes"
	"compress/flate"
	"io"

	"currantloom.example/currantloom"
)

// compressFrom is the size in bytes from which on an encoded message is compressed. Such messages hold a configuration
// of many routes, which shrinks to a tenth; links of small VMs carry 10 Mbit/s.
const compressFrom = 4 << 10

// compress returns the encoded message, without its length prefix, as a message of kind kindCompressed.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress is the reverse of compress. The message may have maxMessageSize bytes.
func decompress(data []byte) ([]byte, error) {
	in := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(in, maxMessageSize+1))
	if err == nil && len(out) > maxMessageSize {
		err = currantloom.ErrInput.New("compressed message of more than %d bytes", maxMessageSize)
	}
	return out, err
}
