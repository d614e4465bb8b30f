//go:build !race

package acceptance

// raceEnabled reports whether this test is built with the race detector; the
// daemons are then built with it too.
const raceEnabled = false
