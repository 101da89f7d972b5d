package job

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

// maxValueBytes limits the size of a value before compression and after decompression, in bytes.
const maxValueBytes = 8 << 20

// MaxTextBytes is the maximum size in bytes of an item's text that a result can hold, beside its other fields.
const MaxTextBytes = maxValueBytes - 64<<10

var errTooLarge = errors.New("compressed value is too large")

// deflaters pools compressors, each of which takes several hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	deflater, _ := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	return deflater
}}

// compress encodes a value as DEFLATE (RFC 1951) with Huffman coding only, which needs little CPU time. Results make up most
// of the traffic on the link to the store.
func compress(value []byte) ([]byte, error) {
	if len(value) > maxValueBytes {
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

// decompress reverses compress. It fails on invalid input and on input that decompresses to more than maxValueBytes.
func decompress(compressed []byte) ([]byte, error) {
	inflater := flate.NewReader(bytes.NewReader(compressed))
	value, err := io.ReadAll(io.LimitReader(inflater, maxValueBytes+1))
	if err == nil && len(value) > maxValueBytes {
		err = errTooLarge
	}
	return value, err
}
