package booking_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcuprill/core/booking"
)

// TestMain fixes the seed, so that the tests are repeatable; -rapid.seed sets
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestLateClaimAfterAnother finishes a claim as not run before it arrives, and then
// a second claim of the key as not run. The first claim must still be refused when
// it arrives late.
func TestLateClaimAfterAnother(t *testing.T) {
	ledger := booking.NewLedger()
	for _, claim := range []string{"first", "second"} {
		if _, err := ledger.Finish(booking.Finish{IdempotencyKey: "k", ClaimID: claim, Outcome: booking.NotRun}); err != nil && claim == "first" {
			t.Fatal(err)
		}
		if claim == "first" {
			if _, fresh, err := ledger.Claim(booking.Claim{IdempotencyKey: "k", Digest: "d", ClaimID: "second"}); !fresh || err != nil {
				t.Fatalf("fresh %t, error %v", fresh, err)
			}
		}
	}
	if _, fresh, err := ledger.Claim(booking.Claim{IdempotencyKey: "k", Digest: "d", ClaimID: "first"}); fresh || err == nil {
		t.Fatal("a claim that was given up may run")
	}
}

// TestAtMostOneRun applies claims and outcomes in any order, late and repeated ones
// too. At most one claim of each key may dispatch, unless the earlier ones are
// known not to have run.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := booking.NewLedger()
		open := map[string]string{} // key to the claim that may have run
		final := map[string]booking.Outcome{}
		givenUp := map[string]bool{} // claims given up
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "seconds")) * time.Second)
			key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
			claim := fmt.Sprint("c", rapid.IntRange(0, 5).Draw(t, "claim"))
			if rapid.Bool().Draw(t, "claims") {
				row, fresh, err := ledger.Claim(booking.Claim{Organisation: "o", IdempotencyKey: key, Digest: "d", ClaimID: claim, Now: now})
				if err != nil || !fresh {
					if err == nil && row.Outcome == booking.NotRun {
						t.Fatalf("a claim on a booking that did not run was refused")
					}
					continue
				}
				if other, running := open[key]; running && other != claim {
					t.Fatalf("claims %s and %s may both run %s", other, claim, key)
				}
				if final[key] == booking.Done || final[key] == booking.Unknown {
					t.Fatalf("%s may run again after %s", key, final[key])
				}
				if givenUp[key+claim] {
					t.Fatalf("claim %s may run %s after it was given up", claim, key)
				}
				open[key] = claim
				continue
			}
			outcome := rapid.SampledFrom([]booking.Outcome{booking.Done, booking.NotRun, booking.Unknown}).Draw(t, "outcome")
			row, err := ledger.Finish(booking.Finish{Organisation: "o", IdempotencyKey: key, ClaimID: claim, Outcome: outcome, Now: now})
			if err != nil {
				continue
			}
			final[key] = row.Outcome
			if row.Outcome == booking.NotRun {
				givenUp[key+claim] = true
				if open[key] == claim {
					delete(open, key)
				}
			}
		}
	})
}

// TestSnapshotKeepsBookings expects a restored ledger to answer as the original,
// and to expire bookings after their retention.
func TestSnapshotKeepsBookings(t *testing.T) {
	ledger := booking.NewLedger()
	now := time.Unix(100, 0)
	for i := range 5 {
		key := fmt.Sprint("k", i)
		if _, _, err := ledger.Claim(booking.Claim{IdempotencyKey: key, Digest: "d", ClaimID: "c", Now: now}); err != nil {
			t.Fatal(err)
		}
		if _, err := ledger.Finish(booking.Finish{IdempotencyKey: key, ClaimID: "c", Outcome: booking.Done, Status: 200 + i, Now: now}); err != nil {
			t.Fatal(err)
		}
	}
	restored := booking.NewLedger()
	for _, row := range ledger.Rows() {
		restored.Restore(row)
	}
	if got := len(restored.Rows()); got != 5 {
		t.Fatalf("%d bookings, want 5", got)
	}
	row, fresh, err := restored.Claim(booking.Claim{IdempotencyKey: "k3", Digest: "d", ClaimID: "other", Now: now})
	if err != nil || fresh || row.Status != 203 {
		t.Fatalf("row %+v, fresh %t, error %v; want the stored answer", row, fresh, err)
	}
	later := now.Add(booking.Retention + time.Second)
	if _, fresh, _ = restored.Claim(booking.Claim{IdempotencyKey: "k3", Digest: "d", ClaimID: "other", Now: later}); !fresh {
		t.Fatal("a booking past its retention was kept")
	}
}
