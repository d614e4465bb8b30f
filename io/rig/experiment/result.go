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

// Result holds the measurements of one run. Latencies are those that callers saw
// of answered requests; counts and shares are of the callers' requests.
type Result struct {
	Name                string         `json:"name"`
	Seed                uint64         `json:"seed"`
	Requests            int            `json:"requests"`
	Answered            int            `json:"answered"`
	NotWhole            int            `json:"not_whole"` // answered with a wrong text
	Codes               map[string]int `json:"codes"`     // requests by outcome
	FirstP50            time.Duration  `json:"first_token_p50_nanoseconds"`
	FirstP95            time.Duration  `json:"first_token_p95_nanoseconds"`
	FirstP99            time.Duration  `json:"first_token_p99_nanoseconds"`
	GapP95              time.Duration  `json:"between_tokens_p95_nanoseconds"`
	AnswerP99           time.Duration  `json:"answer_p99_nanoseconds"`
	Away                float64        `json:"share_sent_away"`         // sent to targets of other regions, per answer
	Cost                float64        `json:"slot_seconds_per_answer"` // time in engine slots
	PeerBytes           int64          `json:"bytes_between_vms"`
	Wrongful            float64        `json:"wrongful_refusals_share"`           // refused though a central limiter would have admitted them
	Overrun             float64        `json:"largest_excess_over_rate_tokens"`   // of the organisation with the largest excess relative to its burst
	WorstShare          float64        `json:"worst_organisation_answered_share"` // lowest share answered of the requests that weren't rate-limited
	WorstFirstP95       time.Duration  `json:"worst_organisation_first_token_p95_nanoseconds"`
	WorstOrganisation   string         `json:"worst_organisation"`
	OverrunOrganisation string         `json:"largest_excess_organisation"`
	OverrunBurst        float64        `json:"its_burst_tokens"`
}

const (
	maxMicroseconds   = 120_000_000
	significantDigits = 3
	queueWaitSeconds  = 2.0 // the QueueWait setting of the daemons
)

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
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
	result.FirstP50, result.FirstP95, result.FirstP99 = percentile(first, 50), percentile(first, 95), percentile(first, 99)
	result.GapP95, result.AnswerP99 = percentile(gaps, 95), percentile(answers, 99)
	if result.Answered > 0 {
		result.Away = float64(after.Away-before.Away) / float64(result.Answered)
		result.Cost = (after.Busy - before.Busy).Seconds() / float64(result.Answered)
	}
	result.PeerBytes = after.PeerBytes - before.PeerBytes
	r.fairness(&result)
	return result
}

// fairness compares the limiting of each organisation with a single token bucket
// that sees all of its requests.
func (r *run) fairness(result *Result) {
	result.WorstShare = 1
	wrongful := 0
	for _, o := range r.settings.Organisations {
		samples := slices.DeleteFunc(slices.Clone(r.samples), func(s sample) bool { return s.organisation != o.Name })
		sort.Slice(samples, func(i, j int) bool { return samples[i].at < samples[j].at })
		wrongful += wrongfulRefusals(o, samples)
		excess := largestExcess(o, samples)
		if result.OverrunOrganisation == "" || excess/o.Burst > result.Overrun/result.OverrunBurst {
			result.Overrun, result.OverrunOrganisation, result.OverrunBurst = excess, o.Name, o.Burst
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
		if p95 := percentile(first, 95); p95 > result.WorstFirstP95 {
			result.WorstFirstP95, result.WorstOrganisation = p95, o.Name
		}
	}
	if len(r.samples) > 0 {
		result.Wrongful = float64(wrongful) / float64(len(r.samples))
	}
}

// wrongfulRefusals counts the requests that were refused although a single token
// bucket with the same queue wait would have admitted them. Samples are in order
// of arrival.
func wrongfulRefusals(o Organisation, samples []sample) (count int) {
	level, last := o.Burst, time.Duration(0)
	for _, s := range samples {
		level = min(o.Burst, level+o.RatePerSecond*(s.at-last).Seconds())
		last = s.at
		if level+o.RatePerSecond*queueWaitSeconds < s.reserved {
			continue
		}
		level -= s.reserved
		if s.code == "rate_limited" {
			count++
		}
	}
	return count
}

// largestExcess returns the largest number of tokens above the rate that were
// admitted in any interval. The time of the first token stands for the time of
// admission. A correct limit keeps the result at or below the burst.
func largestExcess(o Organisation, samples []sample) (largest float64) {
	admitted := slices.DeleteFunc(slices.Clone(samples), func(s sample) bool { return s.code != "answered" })
	sort.Slice(admitted, func(i, j int) bool {
		return admitted[i].at+admitted[i].firstToken < admitted[j].at+admitted[j].firstToken
	})
	sum, lowest := 0.0, 0.0
	for _, s := range admitted {
		accrued := o.RatePerSecond * (s.at + s.firstToken).Seconds()
		lowest = min(lowest, sum-accrued)
		sum += s.used
		largest = max(largest, sum-accrued-lowest)
	}
	return largest
}

// Table writes results as a Markdown table.
func Table(w io.Writer, results []Result) error {
	writer := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(writer, "| run\t| requests\t| answered\t| first p50\t| first p95\t| first p99\t| gap p95\t| answer p99\t| away\t| slot s/answer\t| wrongful\t| excess/burst\t| worst first p95\t| MB between VMs\t|")
	fmt.Fprintln(writer, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range results {
		fmt.Fprintf(writer, "| %s\t| %d\t| %d\t| %v\t| %v\t| %v\t| %v\t| %v\t| %.1f%%\t| %.3f\t| %.2f%%\t| %.2f\t| %v\t| %.1f\t|\n",
			r.Name, r.Requests, r.Answered, ms(r.FirstP50), ms(r.FirstP95), ms(r.FirstP99), ms(r.GapP95), ms(r.AnswerP99),
			100*r.Away, r.Cost, 100*r.Wrongful, r.Overrun/r.OverrunBurst, ms(r.WorstFirstP95), float64(r.PeerBytes)/1e6)
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
