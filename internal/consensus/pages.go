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
	pageHead   = 16 // number, what it is, how many elements, how many pages follow that belong to it
	pageBranch = 1
	pageLeaf   = 2
	leafBucket = 1
	boltMagic  = 0xED0CDAED
	boltFormat = 2
	metaSize   = 64 // magic, version, page size, flags, root, sequence, freelist, pages, number of the transaction, sum
)

type pair struct{ key, value []byte }

type pages struct {
	b    []byte
	size uint64 // of a page
	n    uint64 // how many the file has in use
	seen map[uint64]bool
}

// element is what a page names: a key, and with it a value, a bucket, or another page.
type element struct {
	pair
	child  uint64
	bucket bool
}

// readPages reads the two buckets, and the number of the transaction that wrote last.
func readPages(b []byte) (newest uint64, meta, log []pair, err error) {
	p := pages{b: b, size: uint64(os.Getpagesize()), seen: map[uint64]bool{0: true, 1: true}}
	if uint64(len(b)) < 2*p.size {
		return 0, nil, nil, fmt.Errorf("%w: %d bytes", errDamaged, len(b))
	}
	order := binary.NativeEndian
	var root uint64
	for i := range uint64(2) {
		m := b[i*p.size+pageHead:][:metaSize]
		sum := fnv.New64a()
		sum.Write(m[:metaSize-8])
		// They hold the last two transactions in turn. One that is damaged is no reason to go back to the other: what this voter acknowledged
		// last would be forgotten.
		if order.Uint32(m) != boltMagic || order.Uint32(m[4:]) != boltFormat || uint64(order.Uint32(m[8:])) != p.size || order.Uint64(m[56:]) != sum.Sum64() {
			return 0, nil, nil, fmt.Errorf("%w: first page %d", errDamaged, i)
		}
		number := order.Uint64(m[48:])
		if number%2 != i {
			return 0, nil, nil, fmt.Errorf("%w: first page %d is of transaction %d", errDamaged, i, number)
		}
		if number >= newest {
			newest, root, p.n = number, order.Uint64(m[16:]), order.Uint64(m[40:])
		}
	}
	if p.n > uint64(len(b))/p.size {
		return 0, nil, nil, fmt.Errorf("%w: %d bytes of %d pages", errDamaged, len(b), p.n)
	}
	top, err := p.tree(nil, root)
	if err != nil {
		return 0, nil, nil, err
	}
	found := map[string][]pair{}
	for _, e := range top {
		if !e.bucket || len(e.value) < 16 {
			return 0, nil, nil, errDamaged
		}
		var es []element
		if root := order.Uint64(e.value); root != 0 {
			es, err = p.tree(nil, root)
		} else { // it is so small that its page stands in the value
			es, err = elements(e.value[16:])
		}
		if err != nil {
			return 0, nil, nil, err
		}
		l := []pair{}
		for i, e := range es {
			if e.bucket || i > 0 && bytes.Compare(es[i-1].key, e.key) >= 0 {
				return 0, nil, nil, errDamaged
			}
			l = append(l, e.pair)
		}
		found[string(e.key)] = l
	}
	meta, log = found[string(bucketMeta)], found[string(bucketLog)]
	if meta == nil || log == nil {
		return 0, nil, nil, errDamaged
	}
	return newest, meta, log, nil
}

// tree collects what the leaves under a page hold.
func (p *pages) tree(to []element, id uint64) ([]element, error) {
	if id >= p.n || p.seen[id] {
		return nil, fmt.Errorf("%w: page %d", errDamaged, id)
	}
	p.seen[id] = true
	b := p.b[id*p.size:]
	more := uint64(binary.NativeEndian.Uint32(b[12:]))
	if binary.NativeEndian.Uint64(b) != id || more >= p.n-id {
		return nil, fmt.Errorf("%w: page %d", errDamaged, id)
	}
	for i := range more {
		if p.seen[id+1+i] {
			return nil, fmt.Errorf("%w: page %d", errDamaged, id)
		}
		p.seen[id+1+i] = true
	}
	es, err := elements(b[:(1+more)*p.size])
	if err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	for _, e := range es {
		if e.child == 0 {
			to = append(to, e)
		} else if to, err = p.tree(to, e.child); err != nil {
			return nil, err
		}
	}
	return to, nil
}

// elements takes one page apart.
func elements(b []byte) (es []element, err error) {
	order := binary.NativeEndian
	if len(b) < pageHead {
		return nil, errDamaged
	}
	kind, count := order.Uint16(b[8:]), int(order.Uint16(b[10:]))
	if kind != pageLeaf && (kind != pageBranch || count == 0) || pageHead+16*count > len(b) {
		return nil, errDamaged
	}
	for i := range count {
		at := b[pageHead+16*i:]
		var e element
		var pos, keys, values uint64
		if kind == pageBranch {
			pos, keys, e.child = uint64(order.Uint32(at)), uint64(order.Uint32(at[4:])), order.Uint64(at[8:])
			if e.child == 0 {
				return nil, errDamaged
			}
		} else {
			flags := order.Uint32(at)
			if e.bucket = flags == leafBucket; flags > leafBucket {
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
