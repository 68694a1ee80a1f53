package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// The file as bbolt writes it (version 2 of its format), read without it: each page that is reached is one that the file has, says of itself
// which it is, is reached once, and holds what it says in itself; keys ascend.
const (
	pageHeaderSize = 16 // number, what it is, how many elements, how many pages follow that belong to it
	pageKindBranch = 1
	pageKindLeaf   = 2
	leafFlagBucket = 1
	boltMagic      = 0xED0CDAED
	boltVersion    = 2
	metaPageSize   = 64 // magic, version, page size, flags, root, sequence, freelist, pages, number of the transaction, sum
)

type keyValue struct{ key, value []byte }

type pageReader struct {
	file      []byte
	pageSize  uint64 // of a page
	pageCount uint64 // how many the file has in use
	visited   map[uint64]bool
}

// pageElement is what a page names: a key, and with it a value, a bucket, or another page.
type pageElement struct {
	keyValue
	child    uint64
	isBucket bool
}

// readPages reads the two buckets, and the number of the transaction that wrote last.
func readPages(b []byte) (newest uint64, meta, log []keyValue, err error) {
	p := pageReader{file: b, pageSize: uint64(os.Getpagesize()), visited: map[uint64]bool{0: true, 1: true}}
	if uint64(len(b)) < 2*p.pageSize {
		return 0, nil, nil, fmt.Errorf("%w: %d bytes", errDamaged, len(b))
	}
	order := binary.NativeEndian
	var root uint64
	for i := range uint64(2) {
		m := b[i*p.pageSize+pageHeaderSize:][:metaPageSize]
		sum := fnv.New64a()
		sum.Write(m[:metaPageSize-8])
		// They hold the last two transactions in turn. One that is damaged is no reason to go back to the other: what this voter acknowledged
		// last would be forgotten.
		if order.Uint32(m) != boltMagic || order.Uint32(m[4:]) != boltVersion || uint64(order.Uint32(m[8:])) != p.pageSize || order.Uint64(m[56:]) != sum.Sum64() {
			return 0, nil, nil, fmt.Errorf("%w: first page %d", errDamaged, i)
		}
		number := order.Uint64(m[48:])
		if number%2 != i {
			return 0, nil, nil, fmt.Errorf("%w: first page %d is of transaction %d", errDamaged, i, number)
		}
		if number >= newest {
			newest, root, p.pageCount = number, order.Uint64(m[16:]), order.Uint64(m[40:])
		}
	}
	if p.pageCount > uint64(len(b))/p.pageSize {
		return 0, nil, nil, fmt.Errorf("%w: %d bytes of %d pages", errDamaged, len(b), p.pageCount)
	}
	top, err := p.readTree(nil, root)
	if err != nil {
		return 0, nil, nil, err
	}
	found := map[string][]keyValue{}
	for _, e := range top {
		if !e.isBucket || len(e.value) < 16 {
			return 0, nil, nil, errDamaged
		}
		var es []pageElement
		if root := order.Uint64(e.value); root != 0 {
			es, err = p.readTree(nil, root)
		} else { // it is so small that its page stands in the value
			es, err = readElements(e.value[16:])
		}
		if err != nil {
			return 0, nil, nil, err
		}
		l := []keyValue{}
		for i, e := range es {
			if e.isBucket || i > 0 && bytes.Compare(es[i-1].key, e.key) >= 0 {
				return 0, nil, nil, errDamaged
			}
			l = append(l, e.keyValue)
		}
		found[string(e.key)] = l
	}
	meta, log = found[string(bucketMeta)], found[string(bucketLog)]
	if meta == nil || log == nil {
		return 0, nil, nil, errDamaged
	}
	return newest, meta, log, nil
}

// readTree collects what the leaves under a page hold.
func (p *pageReader) readTree(to []pageElement, id uint64) ([]pageElement, error) {
	if id >= p.pageCount || p.visited[id] {
		return nil, fmt.Errorf("%w: page %d", errDamaged, id)
	}
	p.visited[id] = true
	b := p.file[id*p.pageSize:]
	more := uint64(binary.NativeEndian.Uint32(b[12:]))
	if binary.NativeEndian.Uint64(b) != id || more >= p.pageCount-id {
		return nil, fmt.Errorf("%w: page %d", errDamaged, id)
	}
	for i := range more {
		if p.visited[id+1+i] {
			return nil, fmt.Errorf("%w: page %d", errDamaged, id)
		}
		p.visited[id+1+i] = true
	}
	es, err := readElements(b[:(1+more)*p.pageSize])
	if err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	for _, e := range es {
		if e.child == 0 {
			to = append(to, e)
		} else if to, err = p.readTree(to, e.child); err != nil {
			return nil, err
		}
	}
	return to, nil
}

// readElements takes one page apart.
func readElements(b []byte) (es []pageElement, err error) {
	order := binary.NativeEndian
	if len(b) < pageHeaderSize {
		return nil, errDamaged
	}
	kind, count := order.Uint16(b[8:]), int(order.Uint16(b[10:]))
	if kind != pageKindLeaf && (kind != pageKindBranch || count == 0) || pageHeaderSize+16*count > len(b) {
		return nil, errDamaged
	}
	for i := range count {
		at := b[pageHeaderSize+16*i:]
		var e pageElement
		var pos, keys, values uint64
		if kind == pageKindBranch {
			pos, keys, e.child = uint64(order.Uint32(at)), uint64(order.Uint32(at[4:])), order.Uint64(at[8:])
			if e.child == 0 {
				return nil, errDamaged
			}
		} else {
			flags := order.Uint32(at)
			if e.isBucket = flags == leafFlagBucket; flags > leafFlagBucket {
				return nil, errDamaged
			}
			pos, keys, values = uint64(order.Uint32(at[4:])), uint64(order.Uint32(at[8:])), uint64(order.Uint32(at[12:]))
		}
		if pos+keys+values > uint64(len(at)) {
			return nil, errDamaged
		}
		e.key, e.value = at[pos:pos+keys], at[pos+keys:pos+keys+values]
		es = append(es, e)
	}
	return es, nil
}
