//go:build race

package acceptance

// raceEnabled tells that the daemons are built with the race detector, as the
// test itself.
const raceEnabled = true
