package target

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the length in bytes of the blocks by which prompt prefixes are
// compared.
const PrefixBlock = 256

// maxPrefixes is the number of hashes beyond which a set is cleared.
const maxPrefixes = 4096

// PrefixSet is a VM's estimate of a target's prefix cache: hashes of prompt
// prefixes, from the target's events and from the VM's own requests. Events may
// be late or missing, so it is a hint only.
type PrefixSet struct {
	hashes   sync.Map // uint64 to struct{}
	size     atomic.Int64
	sequence atomic.Uint64 // of the newest event
}

// PrefixHashes returns a hash for each prefix of a prompt that ends at a block
// boundary, the shortest first.
func PrefixHashes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00")
	hashes := make([]uint64, 0, len(prompt)/PrefixBlock)
	for start := 0; start+PrefixBlock <= len(prompt); start += PrefixBlock {
		_, _ = digest.WriteString(prompt[start : start+PrefixBlock])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// Add records that prefixes are cached.
func (p *PrefixSet) Add(hashes ...uint64) {
	if p.size.Load() > maxPrefixes {
		p.Clear()
	}
	for _, hash := range hashes {
		if _, known := p.hashes.LoadOrStore(hash, struct{}{}); !known {
			p.size.Add(1)
		}
	}
}

// Remove records that a prefix was evicted.
func (p *PrefixSet) Remove(hash uint64) {
	if _, known := p.hashes.LoadAndDelete(hash); known {
		p.size.Add(-1)
	}
}

// Clear removes all hashes.
func (p *PrefixSet) Clear() {
	p.hashes.Clear()
	p.size.Store(0)
}

// Event applies a cache event. After a gap in the sequence evictions may be
// missing, so the set is cleared first. An event that isn't newer than the newest
// one is ignored.
func (p *PrefixSet) Event(sequence, hash uint64, evicted bool) {
	newest := p.sequence.Load()
	if sequence <= newest {
		return
	}
	if newest != 0 && sequence != newest+1 {
		p.Clear()
	}
	p.sequence.Store(sequence)
	if evicted {
		p.Remove(hash)
		return
	}
	p.Add(hash)
}

// Cached returns how many bytes of a prompt with these prefix hashes are
// presumably cached.
func (p *PrefixSet) Cached(hashes []uint64) (length int) {
	for i, hash := range hashes {
		if _, known := p.hashes.Load(hash); !known {
			break
		}
		length = (i + 1) * PrefixBlock
	}
	return length
}
