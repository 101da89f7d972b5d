package job

import (
	"bytes"
	"compress/flate"
	"math/rand"
	"testing"

	"github.com/matryer/is"
)

func TestCompressRoundTrip(t *testing.T) {
	is := is.New(t)
	letters := make([]byte, 20<<10)
	random := rand.New(rand.NewSource(1))
	for i := range letters {
		letters[i] = 'a' + byte(random.Intn(26))
	}
	for _, value := range [][]byte{nil, {0}, []byte("text"), letters} {
		compressed, err := compress(value)
		is.NoErr(err)
		restored, err := decompress(compressed)
		is.NoErr(err)
		is.True(bytes.Equal(restored, value))
	}
	compressed, err := compress(letters)
	is.NoErr(err)
	is.True(len(compressed) < len(letters)*7/10)
}

func TestDecompressRejectsInvalidInput(t *testing.T) {
	is := is.New(t)
	for _, garbage := range [][]byte{nil, {0xff}, []byte("garbage")} {
		_, err := decompress(garbage)
		is.True(err != nil)
	}
	_, err := compress(make([]byte, maxValueBytes+1))
	is.Equal(err, errTooLarge)
	var bomb bytes.Buffer
	deflater, err := flate.NewWriter(&bomb, flate.BestSpeed)
	is.NoErr(err)
	_, err = deflater.Write(make([]byte, maxValueBytes+1))
	is.NoErr(err)
	is.NoErr(deflater.Close())
	_, err = decompress(bomb.Bytes())
	is.Equal(err, errTooLarge)
}
