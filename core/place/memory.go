package place

// runningMemory is the KV memory that the requests in flight at a target need. A part
// that several of them share is in memory once.
type runningMemory struct {
	tokens int
	parts  map[string]int // requests in flight by the ID of a shared part
}

// need returns the memory that one more request would add.
func (m *runningMemory) need(d Demand) int {
	need := d.Prompt + d.Output
	for _, part := range d.sharedParts() {
		if m.parts[part.ID] > 0 {
			need -= part.Tokens
		}
	}
	return max(0, need)
}

func (m *runningMemory) add(d Demand) {
	m.tokens += m.need(d)
	if m.parts == nil {
		m.parts = map[string]int{}
	}
	for _, part := range d.sharedParts() {
		m.parts[part.ID]++
	}
}

func (m *runningMemory) remove(d Demand) {
	for _, part := range d.sharedParts() {
		if m.parts[part.ID]--; m.parts[part.ID] <= 0 {
			delete(m.parts, part.ID)
		}
	}
	m.tokens -= m.need(d)
}
