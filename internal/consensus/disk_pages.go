package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// The format of a bbolt file (version 2), which is read here without bbolt. The reader checks that each page
// it reaches is within the file, has its own number in its header, is reached only once and contains all of
// its elements, and that a bucket's keys ascend. The sizes are in bytes.
const (
	pageHeaderSize = 16 // page number, kind, number of elements, number of overflow pages
	elementSize    = 16
	bucketSize     = 16 // of the bucket header in a leaf element's value: root page and sequence
	pageKindBranch = 1
	pageKindLeaf   = 2
	leafFlagBucket = 1
	boltMagic      = 0xED0CDAED
	boltVersion    = 2
	metaPageSize   = 64 // magic, version, page size, flags, root, sequence, freelist, pages, transaction ID, checksum
)

type keyValue struct{ key, value []byte }

// pageReader reads the pages of a bbolt file.
type pageReader struct {
	file      []byte
	pageSize  uint64
	pageCount uint64 // pages in use
	visited   map[uint64]bool
}

// pageElement is an element of a page: a key with a value or a bucket in a leaf, or with a child page in a
// branch.
type pageElement struct {
	keyValue
	child    uint64 // page number; 0 in a leaf
	isBucket bool
}

// readPages returns the pairs of the two buckets and the ID of the last transaction.
func readPages(file []byte) (txID uint64, meta, log []keyValue, err error) {
	p := pageReader{file: file, pageSize: uint64(os.Getpagesize()), visited: map[uint64]bool{0: true, 1: true}}
	txID, root, err := p.readMetaPages()
	if err != nil {
		return 0, nil, nil, err
	}
	elements, err := p.readTree(nil, root)
	if err != nil {
		return 0, nil, nil, err
	}
	buckets := map[string][]keyValue{}
	for _, e := range elements {
		if buckets[string(e.key)], err = p.readBucket(e); err != nil {
			return 0, nil, nil, err
		}
	}
	meta, log = buckets[string(bucketMeta)], buckets[string(bucketLog)]
	if meta == nil || log == nil {
		return 0, nil, nil, errDamaged
	}
	return txID, meta, log, nil
}

// readMetaPages reads the two meta pages, which are written alternately and hold the last two transactions.
// If one is damaged, the other is not used instead: that could drop what this voter acknowledged last. The
// errors call the meta pages the first pages; they are shown in Status.IdentityReason.
func (p *pageReader) readMetaPages() (txID, root uint64, err error) {
	if uint64(len(p.file)) < 2*p.pageSize {
		return 0, 0, fmt.Errorf("%w: %d bytes", errDamaged, len(p.file))
	}
	order := binary.NativeEndian
	for i := range uint64(2) {
		m := p.file[i*p.pageSize+pageHeaderSize:][:metaPageSize]
		checksum := fnv.New64a()
		checksum.Write(m[:metaPageSize-8])
		if order.Uint32(m) != boltMagic || order.Uint32(m[4:]) != boltVersion || uint64(order.Uint32(m[8:])) != p.pageSize || order.Uint64(m[56:]) != checksum.Sum64() {
			return 0, 0, fmt.Errorf("%w: first page %d", errDamaged, i)
		}
		number := order.Uint64(m[48:])
		if number%2 != i {
			return 0, 0, fmt.Errorf("%w: first page %d is of transaction %d", errDamaged, i, number)
		}
		if number >= txID {
			txID, root, p.pageCount = number, order.Uint64(m[16:]), order.Uint64(m[40:])
		}
	}
	if p.pageCount > uint64(len(p.file))/p.pageSize {
		return 0, 0, fmt.Errorf("%w: %d bytes of %d pages", errDamaged, len(p.file), p.pageCount)
	}
	return txID, root, nil
}

// readBucket returns a bucket's pairs; the result is not nil.
func (p *pageReader) readBucket(bucket pageElement) (pairs []keyValue, err error) {
	if !bucket.isBucket || len(bucket.value) < bucketSize {
		return nil, errDamaged
	}
	var elements []pageElement
	if root := binary.NativeEndian.Uint64(bucket.value); root != 0 {
		elements, err = p.readTree(nil, root)
	} else { // the page of a small bucket is inline, in the value
		elements, err = readElements(bucket.value[bucketSize:])
	}
	if err != nil {
		return nil, err
	}
	pairs = []keyValue{}
	for i, e := range elements {
		if e.isBucket || i > 0 && bytes.Compare(elements[i-1].key, e.key) >= 0 {
			return nil, errDamaged
		}
		pairs = append(pairs, e.keyValue)
	}
	return pairs, nil
}

// readTree appends the elements of all leaves below a page.
func (p *pageReader) readTree(elements []pageElement, number uint64) ([]pageElement, error) {
	if number >= p.pageCount || p.visited[number] {
		return nil, fmt.Errorf("%w: page %d", errDamaged, number)
	}
	p.visited[number] = true
	page := p.file[number*p.pageSize:]
	overflow := uint64(binary.NativeEndian.Uint32(page[12:]))
	if binary.NativeEndian.Uint64(page) != number || overflow >= p.pageCount-number {
		return nil, fmt.Errorf("%w: page %d", errDamaged, number)
	}
	for i := range overflow {
		if p.visited[number+1+i] {
			return nil, fmt.Errorf("%w: page %d", errDamaged, number)
		}
		p.visited[number+1+i] = true
	}
	own, err := readElements(page[:(1+overflow)*p.pageSize])
	if err != nil {
		return nil, fmt.Errorf("page %d: %w", number, err)
	}
	for _, e := range own {
		if e.child == 0 {
			elements = append(elements, e)
		} else if elements, err = p.readTree(elements, e.child); err != nil {
			return nil, err
		}
	}
	return elements, nil
}

// readElements reads the elements of one page.
func readElements(page []byte) (elements []pageElement, err error) {
	order := binary.NativeEndian
	if len(page) < pageHeaderSize {
		return nil, errDamaged
	}
	kind, count := order.Uint16(page[8:]), int(order.Uint16(page[10:]))
	if kind != pageKindLeaf && (kind != pageKindBranch || count == 0) || pageHeaderSize+elementSize*count > len(page) {
		return nil, errDamaged
	}
	for i := range count {
		b := page[pageHeaderSize+elementSize*i:]
		var e pageElement
		var position, keySize, valueSize uint64 // position is relative to the element's start
		if kind == pageKindBranch {
			position, keySize, e.child = uint64(order.Uint32(b)), uint64(order.Uint32(b[4:])), order.Uint64(b[8:])
			if e.child == 0 {
				return nil, errDamaged
			}
		} else {
			flags := order.Uint32(b)
			if e.isBucket = flags == leafFlagBucket; flags > leafFlagBucket {
				return nil, errDamaged
			}
			position, keySize, valueSize = uint64(order.Uint32(b[4:])), uint64(order.Uint32(b[8:])), uint64(order.Uint32(b[12:]))
		}
		if position+keySize+valueSize > uint64(len(b)) {
			return nil, errDamaged
		}
		e.key, e.value = b[position:position+keySize], b[position+keySize:position+keySize+valueSize]
		elements = append(elements, e)
	}
	return elements, nil
}
