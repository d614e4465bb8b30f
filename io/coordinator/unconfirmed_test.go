package coordinator

import (
	"context"
	"testing"
	"time"
)

// A coordinator that was cut off or stood still gave out places by its old registrations.
func TestUnconfirmedCoordinatorGivesNoPlaces(t *testing.T) {
	server, client, address := startCoordinator(t, 1)
	confirmed := false
	server.Confirmed = func() bool { return confirmed }
	reservation, _, _, err := client.Reserve(context.Background(), address, request())
	if reservation != nil || err == nil || client.Available(address) {
		t.Errorf("reservation %v, error %v; callers of earlier releases choose alone only after an error", reservation, err)
	}
	confirmed = true
	time.Sleep(backoffTime)
	mustReserve(t, client, address)
}
