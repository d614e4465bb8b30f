package linkbudget

const (
	// segmentBytes is the most payload of one TCP segment, packetBytes the size of the headers
	// of a packet, which an acknowledgement without payload consists of.
	segmentBytes = 1448
	packetBytes  = 66
	// segmentsPerAck is how many segments one acknowledgement confirms.
	segmentsPerAck = 2
	// setupPackets is how many packets each side sends to open and to close a connection.
	setupPackets = 3
	// SetupBytes is what a connection without payload takes in each direction.
	SetupBytes = setupPackets * packetBytes
)

// OnWire estimates what the link carries for payload that is sent at once: with are the bytes
// in its direction, against the acknowledgements in the other one.
func OnWire(payload int64) (with, against int64) {
	segments := (payload + segmentBytes - 1) / segmentBytes
	return payload + segments*packetBytes, acks(segments)
}

func acks(segments int64) int64 {
	return (segments + segmentsPerAck - 1) / segmentsPerAck * packetBytes
}

// inParts is the same as OnWire for payload that is sent in parts, in both directions
// together, since a VM that passes it on has it once in each.
func inParts(payload, parts int64) int64 {
	segments := max(parts, (payload+segmentBytes-1)/segmentBytes)
	return payload + segments*packetBytes + acks(segments)
}
