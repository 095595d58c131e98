package peer

import (
	"math/bits"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/peer/wire"
)

// Limits of compression.
const (
	// minCompressSize is the size of the smallest value, in bytes, that is compressed.
	minCompressSize = 512
	// maxValueSize is the maximum size of a decompressed value, in bytes.
	maxValueSize = 16 << 20
	// minPackedRows is the minimum number of rows that are compressed together.
	minPackedRows = 8
	// minWindowSize is the smallest window that the compressor supports, in bytes.
	minWindowSize = 1 << 10
	// dictionaryID is the dictionary ID of the base in compressed frames.
	dictionaryID = 1
)

// Encodings of rows on the wire. A peer of an older version may not read the newest encoding, and would
// decode it as rows without values. So a sender uses only encodings that the peer announces, and a
// receiver rejects encodings that it does not know.
const (
	// EncodingPlain has uncompressed values.
	EncodingPlain int32 = iota
	// EncodingCompressed may have compressed values, deltas from older values, and compressed tables.
	EncodingCompressed
	// NewestEncoding is the newest encoding that this version reads.
	NewestEncoding = EncodingCompressed
)

// BaseLookup returns the older version of a row that the receiver has, and false if none is known.
type BaseLookup func(r lovageyard.Row) (lovageyard.Row, bool)

// NoBase is the BaseLookup of a receiver without older rows; values are then sent in full.
func NoBase(lovageyard.Row) (lovageyard.Row, bool) { return lovageyard.Row{}, false }

// FromChanges returns the wire form of changes for a receiver without older rows. Long values are
// compressed; those of plans are repetitive and compress well.
func FromChanges(c lovageyard.Changes) *wire.Changes {
	return new(Encoder).EncodeChanges(c, NoBase)
}

// Encoder converts changes to their wire form. It caches compressed values, so that a value is compressed
// once for all peers that have the same base. The zero value is ready to use; it is not safe for
// concurrent use.
type Encoder struct {
	compressed map[rowKey]*compressedRow
}

type rowKey struct {
	table string
	key   string
}

// compressedRow holds the compressed values of the newest version of a row, by the version of the base.
type compressedRow struct {
	at     lovageyard.Position
	byBase map[int64][]byte
}

// EncodeChanges returns the wire form of changes. For a long value of which the receiver has an older
// version, a delta is sent: for a configuration of 760 KB, one additional route takes 0.2 KB and 1,400
// additional routes take 24 KB, while the full value takes 70 KB.
func (e *Encoder) EncodeChanges(c lovageyard.Changes, baseOf BaseLookup) *wire.Changes {
	w := &wire.Changes{Era: c.Era, After: c.After, To: c.To}
	for _, r := range c.Rows {
		w.Rows = append(w.Rows, e.encodeRow(c.Era, r, baseOf))
	}
	return w
}

// EncodeRow returns the wire form of one row, without a base. The value is not cached.
func EncodeRow(r lovageyard.Row) *wire.Row {
	return new(Encoder).encodeRow(0, r, NoBase)
}

func (e *Encoder) encodeRow(era int64, r lovageyard.Row, baseOf BaseLookup) *wire.Row {
	w := encodePlainRow(r)
	if len(r.Value) < minCompressSize {
		return w
	}
	base, found := baseOf(r)
	if !found {
		base = lovageyard.Row{}
	}
	if zipped := e.compressRow(era, r, base); len(zipped) < len(r.Value) {
		w.Value = nil
		w.Zipped = zipped
		w.Base = base.Version
	}
	return w
}

// compressRow returns the compressed value of a row of an era, from the cache if possible. A base without a
// value means none.
func (e *Encoder) compressRow(era int64, r, base lovageyard.Row) []byte {
	if e.compressed == nil {
		e.compressed = make(map[rowKey]*compressedRow)
	}
	key := rowKey{table: r.Table, key: r.Key}
	at := lovageyard.Position{Era: era, Version: r.Version}
	known := e.compressed[key]
	if known == nil || known.at != at {
		known = &compressedRow{at: at, byBase: make(map[int64][]byte)}
		e.compressed[key] = known
	}
	zipped, found := known.byBase[base.Version]
	if !found {
		zipped = compressDelta(r.Value, base.Value)
		known.byBase[base.Version] = zipped
	}
	return zipped
}

// EncodeTable returns the changes of one table for a peer that reads encodings up to newest. If there are
// many rows, they are compressed together, as small rows are similar to each other.
func (e *Encoder) EncodeTable(table string, c lovageyard.Changes, baseOf BaseLookup, newest int32) (*wire.TableChanges, error) {
	if newest < EncodingCompressed {
		return &wire.TableChanges{Table: table, Changes: encodePlainChanges(c), Form: EncodingPlain}, nil
	}
	t := &wire.TableChanges{Table: table, Changes: e.EncodeChanges(c, baseOf), Form: EncodingCompressed}
	if len(c.Rows) < minPackedRows {
		return t, nil
	}
	encoded, err := proto.Marshal(t.GetChanges())
	if err != nil {
		return nil, errors.Wrap(err, "changes of "+table)
	}
	if packed := Compress(encoded); len(packed) < len(encoded) {
		return &wire.TableChanges{Table: table, Packed: packed, Form: EncodingCompressed}, nil
	}
	return t, nil
}

// encodePlainChanges returns the wire form of changes without compression.
func encodePlainChanges(c lovageyard.Changes) *wire.Changes {
	w := &wire.Changes{Era: c.Era, After: c.After, To: c.To}
	for _, r := range c.Rows {
		w.Rows = append(w.Rows, encodePlainRow(r))
	}
	return w
}

func encodePlainRow(r lovageyard.Row) *wire.Row {
	return &wire.Row{Table: r.Table, Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted, KeepMs: r.KeepFor.Milliseconds()}
}

// DecodeTable returns the changes that a peer has sent. It returns an error if their encoding is unknown or
// they can't be decompressed.
func DecodeTable(t *wire.TableChanges) (*wire.Changes, error) {
	if t.GetForm() > NewestEncoding {
		return nil, errors.Errorf("changes of %s: unknown encoding %d", t.GetTable(), t.GetForm())
	}
	if len(t.GetPacked()) == 0 {
		return t.GetChanges(), nil
	}
	encoded, err := Decompress(t.GetPacked())
	if err != nil {
		return nil, errors.Wrap(err, "changes of "+t.GetTable())
	}
	changes := &wire.Changes{}
	return changes, errors.Wrap(proto.Unmarshal(encoded, changes), "changes of "+t.GetTable())
}

// Compress returns a value compressed with zstd, without a base.
func Compress(value []byte) []byte {
	return compressDelta(value, nil)
}

// compressDelta returns a value compressed with a base as the dictionary, or without a dictionary if the
// base is empty.
func compressDelta(value, base []byte) []byte {
	if len(base) == 0 {
		return sharedCompressor().EncodeAll(value, nil)
	}
	w, err := newCompressor(
		zstd.WithWindowSize(max(minWindowSize, 1<<bits.Len(uint(len(value)+len(base))))),
		zstd.WithEncoderDictRaw(dictionaryID, base),
	)
	if err != nil {
		// The caller then sends the value uncompressed, as it is no shorter.
		return value
	}
	defer w.Close()
	return w.EncodeAll(value, nil)
}

// sharedCompressor and sharedDecompressor are used for all values without a base, as creating one is slow.
var (
	sharedCompressor = sync.OnceValue(func() *zstd.Encoder {
		w, err := newCompressor()
		if err != nil {
			panic(errors.Wrap(err, "create compressor with constant options"))
		}
		return w
	})
	sharedDecompressor = sync.OnceValue(func() *zstd.Decoder {
		r, err := newDecompressor()
		if err != nil {
			panic(errors.Wrap(err, "create decompressor with constant options"))
		}
		return r
	})
)

func newCompressor(options ...zstd.EOption) (*zstd.Encoder, error) {
	options = append(options, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	return zstd.NewWriter(nil, options...)
}

func newDecompressor(options ...zstd.DOption) (*zstd.Decoder, error) {
	options = append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValueSize))
	return zstd.NewReader(nil, options...)
}

// ToRow returns the row of a wire message. If the message contains a delta, base must be the value that the
// delta is based on. ToRow returns an error if the value can't be decompressed.
func ToRow(table string, w *wire.Row, base []byte) (lovageyard.Row, error) {
	r := lovageyard.Row{
		Table: table, Key: w.GetKey(), Version: w.GetVersion(), Value: w.GetValue(), Deleted: w.GetDeleted(),
		KeepFor: time.Duration(w.GetKeepMs()) * time.Millisecond,
	}
	if len(w.GetZipped()) == 0 {
		return r, nil
	}
	value, err := decompressDelta(w.GetZipped(), base)
	r.Value = value
	return r, errors.Wrap(err, "row "+r.Table+"/"+r.Key)
}

// ToChanges returns the changes of a wire message without deltas, or an error if a value can't be
// decompressed.
func ToChanges(w *wire.Changes) (lovageyard.Changes, error) {
	c := lovageyard.Changes{Era: w.GetEra(), After: w.GetAfter(), To: w.GetTo()}
	for _, sent := range w.GetRows() {
		row, err := ToRow(sent.GetTable(), sent, nil)
		if err != nil {
			return c, err
		}
		c.Rows = append(c.Rows, row)
	}
	return c, nil
}

// Decompress reverses Compress. It returns an error if the data are corrupt or the value is larger than 16 MB.
func Decompress(zipped []byte) ([]byte, error) {
	return decompressDelta(zipped, nil)
}

func decompressDelta(zipped, base []byte) ([]byte, error) {
	if len(base) == 0 {
		value, err := sharedDecompressor().DecodeAll(zipped, nil)
		return value, errors.Wrap(err, "compressed value")
	}
	r, err := newDecompressor(zstd.WithDecoderDictRaw(dictionaryID, base))
	if err != nil {
		return nil, errors.Wrap(err, "create decompressor for a delta")
	}
	defer r.Close()
	value, err := r.DecodeAll(zipped, nil)
	return value, errors.Wrap(err, "compressed value")
}
