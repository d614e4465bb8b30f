package draw

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/quota"
	"kingcuprill/core/units"
)

// joinTime is how long requests wait for the draw of their organisation that is under way
// before another one is made for them. Requests wait for timeout at most, and a draw may take
// a round trip between regions.
const joinTime = 40 * time.Millisecond

// roundingTokens is added to each request's part of a draw where there is more, so that
// rounding leaves none short of its cost.
const roundingTokens = 1e-3

// joints shares draws: requests of one organisation that need tokens at the same time make
// one call together.
type joints struct {
	shared  atomic.Int64 // requests that were in a draw with others, without a call of their own
	avoided atomic.Int64 // requests that were refused by an earlier answer of the pool, without a call

	enabled bool
	mu      sync.Mutex
	by      map[jointKey]*joint
}

// jointKey tells apart draws by their limit, too, since it may change while one is under way.
type jointKey struct {
	organisation string
	limit        quota.Limit
}

// joint holds the requests of an organisation that wait for tokens.
type joint struct {
	waiting []*sharer
	running int  // calls
	due     bool // another call is due after joinTime
}

// sharer is one waiting request.
type sharer struct {
	order  quota.Order
	result chan drawn
}

type drawn struct {
	tokens  float64
	wait    time.Duration
	reached bool
}

// Share makes concurrent draws of an organisation share calls, and makes Wait remember when
// the pool had too few tokens. It must be called before the first draw.
func (c *Client) Share() {
	c.joints.enabled = true
	c.joints.by = map[jointKey]*joint{}
}

// Shared returns how many requests have had no call of their own, as they shared one.
func (c *Client) Shared() int64 {
	return c.joints.shared.Load()
}

// Avoided returns how many requests Wait has refused.
func (c *Client) Avoided() int64 {
	return c.joints.avoided.Load()
}

// Wait returns how long a request of a cost must wait for tokens that neither this VM nor, by
// its last answer, the pool has; 0 if a draw may bring them.
func (c *Client) Wait(organisation string, limit quota.Limit, cost float64, now time.Time) time.Duration {
	if !c.joints.enabled {
		return 0
	}
	wait := c.Limiter.Wait(organisation, limit, cost, now)
	if wait > 0 {
		c.joints.avoided.Add(1)
	}
	return wait
}

// Draw draws the tokens of an order from the pool, together with other requests of the
// organisation. The tokens of an order without a need, which is for later requests, go to the
// limiter. wait is how long the caller should wait if there were too few tokens. reached tells
// whether a control VM has answered.
func (c *Client) Draw(ctx context.Context, organisation string, limit quota.Limit, order quota.Order) (tokens float64, wait time.Duration, reached bool) {
	if !c.joints.enabled || order.Need <= 0 {
		return c.drawAlone(ctx, organisation, limit, order)
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	key := jointKey{organisation, limit}
	s := &sharer{order: order, result: make(chan drawn, 1)}
	c.join(key, s)
	select {
	case d := <-s.result:
		return d.tokens, d.wait, d.reached
	case <-bounded.Done():
		go c.keepLate(key, s)
		return 0, unreachableWait, false
	}
}

// keepLate keeps the tokens of a request that has not waited for them.
func (c *Client) keepLate(key jointKey, s *sharer) {
	d := <-s.result
	c.Limiter.AddDrawn(key.organisation, key.limit, quota.Order{Need: s.order.Need}, 0, d.tokens, d.reached, time.Now())
}

// join adds a request to those that wait, and starts a call if none is under way.
func (c *Client) join(key jointKey, s *sharer) {
	c.joints.mu.Lock()
	defer c.joints.mu.Unlock()
	j, found := c.joints.by[key]
	if !found {
		j = &joint{}
		c.joints.by[key] = j
	}
	j.waiting = append(j.waiting, s)
	switch {
	case j.running == 0:
		c.start(key, j)
	case !j.due:
		j.due = true
		time.AfterFunc(joinTime, func() { c.startDue(key, j) })
	}
}

// start makes a call for all that wait. The caller holds mu.
func (c *Client) start(key jointKey, j *joint) {
	batch := j.waiting
	j.waiting = nil
	j.running++
	c.joints.shared.Add(int64(len(batch) - 1))
	go c.call(key, j, batch)
}

// startDue makes a call for the requests that still wait after joinTime.
func (c *Client) startDue(key jointKey, j *joint) {
	c.joints.mu.Lock()
	defer c.joints.mu.Unlock()
	j.due = false
	if len(j.waiting) > 0 {
		c.start(key, j)
	}
}

// call draws for a batch, and passes the tokens on in the order of arrival.
func (c *Client) call(key jointKey, j *joint, batch []*sharer) {
	order := sum(batch)
	tokens, wait, reached := c.drawAlone(context.Background(), key.organisation, key.limit, order)
	if reached && tokens == 0 && wait > 0 {
		c.Limiter.NoteShortage(key.organisation, key.limit, order.Need, wait, time.Now())
		batch = append(batch, c.takeRefused(j, order.Need)...)
	}
	c.end(key, j)
	distribute(batch, drawn{tokens: tokens, wait: wait, reached: reached}, key.limit)
}

// end starts the next call, or forgets the organisation if nobody waits.
func (c *Client) end(key jointKey, j *joint) {
	c.joints.mu.Lock()
	defer c.joints.mu.Unlock()
	j.running--
	switch {
	case j.running > 0:
	case len(j.waiting) > 0:
		c.start(key, j)
	default:
		delete(c.joints.by, key)
	}
}

// takeRefused removes those that wait for as many tokens as the pool has just refused, or more.
func (c *Client) takeRefused(j *joint, need float64) (refused []*sharer) {
	c.joints.mu.Lock()
	defer c.joints.mu.Unlock()
	var left []*sharer
	for _, s := range j.waiting {
		if s.order.Need >= need {
			refused = append(refused, s)
			continue
		}
		left = append(left, s)
	}
	j.waiting = left
	c.joints.shared.Add(int64(len(refused)))
	return refused
}

// sum returns the order for a batch: enough for its first request at least, and for all if
// possible.
func sum(batch []*sharer) (order quota.Order) {
	order.Need = batch[0].order.Need
	prefetch := 0.0
	for _, s := range batch {
		order.Want += s.order.Need
		prefetch = max(prefetch, s.order.Want-s.order.Need)
	}
	order.Want += prefetch
	return order
}

// distribute passes the tokens of a draw on. What nobody needs goes to the first request, which
// leaves it to later ones.
func distribute(batch []*sharer, total drawn, limit quota.Limit) {
	rest := total.tokens
	results := make([]drawn, len(batch))
	for i, s := range batch {
		results[i] = drawn{wait: total.wait, reached: total.reached}
		if rest >= s.order.Need {
			results[i].tokens = min(rest, s.order.Need+roundingTokens)
			rest -= results[i].tokens
		} else if total.tokens > 0 {
			results[i].wait = units.Seconds((s.order.Need - rest) / limit.RatePerSecond)
		}
	}
	results[0].tokens += rest
	for i, s := range batch {
		s.result <- results[i]
	}
}
