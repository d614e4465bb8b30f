package quarantine

// maxKnown bounds the parts of each generation of knownParts.
const maxKnown = 4096

// knownParts holds the parts with which answers went on well lately. When the newer
// generation is full, it replaces the older one, so that those not used any more are
// forgotten.
type knownParts struct {
	newer, older map[string]bool
}

func partKey(service, part string) string {
	return service + "\x00" + part
}

func (k *knownParts) add(key string) {
	if k.newer[key] {
		return
	}
	if len(k.newer) >= maxKnown {
		k.older, k.newer = k.newer, nil
	}
	if k.newer == nil {
		k.newer = map[string]bool{}
	}
	k.newer[key] = true
}

func (k *knownParts) has(key string) bool {
	return k.newer[key] || k.older[key]
}
