package job

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

// largestValue bounds what a compressed value may grow to, in bytes.
const largestValue = 8 << 20

var errTooLarge = errors.New("compressed value is too large")

// deflaters keeps compressors for use again: each takes some hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// The level is valid, so that there is no error.
	deflater, _ := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	return deflater
}}

// compress returns a value by its letters' frequency alone (RFC 1951), which costs little processor time. Results are most of
// what the store's link carries.
func compress(value []byte) ([]byte, error) {
	if len(value) > largestValue {
		return nil, errTooLarge
	}
	deflater := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(deflater)
	var compressed bytes.Buffer
	compressed.Grow(len(value))
	deflater.Reset(&compressed)
	if _, err := deflater.Write(value); err != nil {
		return nil, err
	}
	err := deflater.Close()
	return compressed.Bytes(), err
}

// decompress undoes compress. It fails on garbage and on what would grow beyond largestValue.
func decompress(compressed []byte) ([]byte, error) {
	inflater := flate.NewReader(bytes.NewReader(compressed))
	value, err := io.ReadAll(io.LimitReader(inflater, largestValue+1))
	if err == nil && len(value) > largestValue {
		err = errTooLarge
	}
	return value, err
}
