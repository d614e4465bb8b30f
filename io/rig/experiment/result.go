package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run has measured.
type Result struct {
	Name            string         `json:"name"`
	Seed            uint64         `json:"seed"`
	Requests        int            `json:"requests"`
	Answered        int            `json:"answered"`
	NotWhole        int            `json:"not_whole"`
	Codes           map[string]int `json:"codes"`
	FirstP50        time.Duration  `json:"first_token_p50_nanoseconds"`
	FirstP95        time.Duration  `json:"first_token_p95_nanoseconds"`
	FirstP99        time.Duration  `json:"first_token_p99_nanoseconds"`
	GapP95          time.Duration  `json:"between_tokens_p95_nanoseconds"`
	AnswerP99       time.Duration  `json:"answer_p99_nanoseconds"`
	Away            float64        `json:"share_sent_away"`
	Cost            float64        `json:"slot_seconds_per_answer"`
	PeerBytes       int64          `json:"bytes_between_vms"`
	Wrongful        float64        `json:"wrongful_refusals_share"`
	Overrun         float64        `json:"largest_excess_over_rate_tokens"`
	WorstShare      float64        `json:"worst_organisation_answered_share"`
	WorstFirstP95   time.Duration  `json:"worst_organisation_first_token_p95_nanoseconds"`
	WorstName       string         `json:"worst_organisation"`
	LargestOverrun  string         `json:"largest_excess_organisation"`
	LargestPossible float64        `json:"its_burst_tokens"`
}

const (
	highestMicroseconds = 120_000_000
	significantDigits   = 3
	queueWait           = 2.0 // seconds
)

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicroseconds, significantDigits)
}

func at(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

func (r *run) result(before counters) (result Result) {
	after := r.counters()
	result = Result{Name: r.settings.Name, Seed: r.settings.Seed, Requests: len(r.samples), Codes: map[string]int{}}
	first, gaps, answers := histogram(), histogram(), histogram()
	for _, s := range r.samples {
		result.Codes[s.code]++
		if s.code != "answered" {
			continue
		}
		result.Answered++
		if !s.whole {
			result.NotWhole++
		}
		_ = first.RecordValue(s.firstToken.Microseconds())
		_ = answers.RecordValue(s.took.Microseconds())
		for _, gap := range s.gaps {
			_ = gaps.RecordValue(gap.Microseconds())
		}
	}
	result.FirstP50, result.FirstP95, result.FirstP99 = at(first, 50), at(first, 95), at(first, 99)
	result.GapP95, result.AnswerP99 = at(gaps, 95), at(answers, 99)
	if result.Answered > 0 {
		result.Away = float64(after.Away-before.Away) / float64(result.Answered)
		result.Cost = (after.Busy - before.Busy).Seconds() / float64(result.Answered)
	}
	result.PeerBytes = after.PeerBytes - before.PeerBytes
	r.fairness(&result)
	return result
}

// fairness compares each organisation with one bucket that knows all requests.
func (r *run) fairness(result *Result) {
	result.WorstShare = 1
	wrongful := 0
	for _, o := range r.settings.Organisations {
		samples := slices.DeleteFunc(slices.Clone(r.samples), func(s sample) bool { return s.organisation != o.Name })
		sort.Slice(samples, func(i, j int) bool { return samples[i].at < samples[j].at })
		wrongful += wrongfulRefusals(o, samples)
		excess := largestExcess(o, samples)
		if result.LargestOverrun == "" || excess/o.Burst > result.Overrun/result.LargestPossible {
			result.Overrun, result.LargestOverrun, result.LargestPossible = excess, o.Name, o.Burst
		}
		first, answered, due := histogram(), 0, 0
		for _, s := range samples {
			if s.code != "rate_limited" {
				due++
			}
			if s.code == "answered" {
				answered++
				_ = first.RecordValue(s.firstToken.Microseconds())
			}
		}
		if due > 0 {
			result.WorstShare = min(result.WorstShare, float64(answered)/float64(due))
		}
		if p95 := at(first, 95); p95 > result.WorstFirstP95 {
			result.WorstFirstP95, result.WorstName = p95, o.Name
		}
	}
	if len(r.samples) > 0 {
		result.Wrongful = float64(wrongful) / float64(len(r.samples))
	}
}

// wrongfulRefusals counts the requests that were refused although a single
// bucket with the same wait would have admitted them.
func wrongfulRefusals(o Organisation, samples []sample) (count int) {
	level, last := o.Burst, time.Duration(0)
	for _, s := range samples {
		level = min(o.Burst, level+o.RatePerSecond*(s.at-last).Seconds())
		last = s.at
		if level+o.RatePerSecond*queueWait < s.reserved {
			continue
		}
		level -= s.reserved
		if s.code == "rate_limited" {
			count++
		}
	}
	return count
}

// largestExcess returns the most tokens beyond the rate that were admitted in
// any interval, by the times at which first tokens came. It must not be above
// the burst.
func largestExcess(o Organisation, samples []sample) (largest float64) {
	admitted := slices.DeleteFunc(slices.Clone(samples), func(s sample) bool { return s.code != "answered" })
	sort.Slice(admitted, func(i, j int) bool {
		return admitted[i].at+admitted[i].firstToken < admitted[j].at+admitted[j].firstToken
	})
	sum, lowest := 0.0, 0.0
	for _, s := range admitted {
		paid := o.RatePerSecond * (s.at + s.firstToken).Seconds()
		lowest = min(lowest, sum-paid)
		sum += s.used
		largest = max(largest, sum-paid-lowest)
	}
	return largest
}

// Table writes results as a table in the form of the documents.
func Table(w io.Writer, results []Result) error {
	writer := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(writer, "| run\t| requests\t| answered\t| first p50\t| first p95\t| first p99\t| gap p95\t| answer p99\t| away\t| slot s/answer\t| wrongful\t| excess/burst\t| worst first p95\t| MB between VMs\t|")
	fmt.Fprintln(writer, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range results {
		fmt.Fprintf(writer, "| %s\t| %d\t| %d\t| %v\t| %v\t| %v\t| %v\t| %v\t| %.1f%%\t| %.3f\t| %.2f%%\t| %.2f\t| %v\t| %.1f\t|\n",
			r.Name, r.Requests, r.Answered, ms(r.FirstP50), ms(r.FirstP95), ms(r.FirstP99), ms(r.GapP95), ms(r.AnswerP99),
			100*r.Away, r.Cost, 100*r.Wrongful, r.Overrun/r.LargestPossible, ms(r.WorstFirstP95), float64(r.PeerBytes)/1e6)
	}
	return writer.Flush()
}

func ms(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

// WriteJSON writes results as JSON.
func WriteJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}
