package catalogue_test

import (
	"fmt"
	"runtime"
	"testing"

	"kingcuprill/core/catalogue"
)

// newCatalogue returns a catalogue of organisations with one key each and a residency
// rule for every eighth.
func newCatalogue(organisations int) *catalogue.Catalogue {
	c := catalogue.New()
	for i := range organisations {
		name := fmt.Sprint("organisation-", i)
		c.Organisations[name] = catalogue.Organisation{Name: name, RatePerSecond: 1, Burst: 1, Weight: 1, HomeRegion: "region-1"}
		c.Keys[name] = catalogue.Key{ID: name, Organisation: name, SecretHash: fmt.Sprintf("%064d", i)}
		if i%8 == 0 {
			c.Residencies[name] = catalogue.Residency{Name: name, Organisation: name, Regions: []string{"region-1"}}
		}
	}
	c.Index()
	return c
}

// BenchmarkChange applies one change to catalogues of several sizes and reports
// the memory that a catalogue holds.
func BenchmarkChange(b *testing.B) {
	for _, organisations := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newCatalogue(organisations)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				row := catalogue.Organisation{Name: fmt.Sprint("organisation-", i%organisations), RatePerSecond: 2, Burst: 2, Weight: 1}
				if _, err := c.With(catalogue.Change{PutOrganisation: &row}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}
