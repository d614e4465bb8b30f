package draw

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/quota"
	"kingcuprill/core/units"
)

// shareDelay is how long requests wait for the draw of their organisation that is under way
// before another one is made for them. Requests wait for timeout at most, and a draw may take
// a round trip between regions.
const shareDelay = 40 * time.Millisecond

// roundingTokens is added to each request's part of a draw where there is more, so that
// rounding leaves none short of its cost.
const roundingTokens = 1e-3

// sharedDraws holds the draws under way. Requests of one organisation that need tokens at the
// same time make one call together.
type sharedDraws struct {
	shared  atomic.Int64 // requests that were in a draw with others, without a call of their own
	avoided atomic.Int64 // requests that were refused by an earlier answer of the pool, without a call

	enabled bool
	mu      sync.Mutex
	byKey   map[drawKey]*sharedDraw
}

// drawKey tells apart draws by their limit, too, since it may change while one is under way.
type drawKey struct {
	organisation string
	limit        quota.Limit
}

// sharedDraw holds the requests of an organisation that wait for tokens.
type sharedDraw struct {
	waiting []*waiter
	running int  // calls
	due     bool // another call is due after shareDelay
}

// waiter is a request that waits for tokens, and gets exactly one result.
type waiter struct {
	order  quota.Order
	result chan drawn
}

// drawn is the result of a draw, as Draw returns it.
type drawn struct {
	tokens  float64
	wait    time.Duration
	reached bool
}

// Share makes concurrent draws of an organisation share calls, and makes Wait remember when
// the pool had too few tokens. It must be called before the first draw.
func (c *Client) Share() {
	c.sharedDraws.enabled = true
	c.sharedDraws.byKey = map[drawKey]*sharedDraw{}
}

// Shared returns how many requests have had no call of their own, as they shared one.
func (c *Client) Shared() int64 {
	return c.sharedDraws.shared.Load()
}

// Avoided returns how many requests Wait has refused.
func (c *Client) Avoided() int64 {
	return c.sharedDraws.avoided.Load()
}

// Wait returns how long a request of a cost must wait for tokens that neither this VM nor, by
// its last answer, the pool has; 0 if a draw may bring them.
func (c *Client) Wait(organisation string, limit quota.Limit, cost float64, now time.Time) time.Duration {
	if !c.sharedDraws.enabled {
		return 0
	}
	wait := c.Limiter.Wait(organisation, limit, cost, now)
	if wait > 0 {
		c.sharedDraws.avoided.Add(1)
	}
	return wait
}

// Draw draws the tokens of an order from the pool, together with other requests of the
// organisation. The tokens of an order without a need, which is for later requests, go to the
// limiter. wait is how long the caller should wait if there were too few tokens. reached tells
// whether a control VM has answered.
func (c *Client) Draw(ctx context.Context, organisation string, limit quota.Limit, order quota.Order) (tokens float64, wait time.Duration, reached bool) {
	key := drawKey{organisation, limit}
	if !c.sharedDraws.enabled || order.Need <= 0 {
		d := c.drawAlone(ctx, key, order)
		return d.tokens, d.wait, d.reached
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	w := &waiter{order: order, result: make(chan drawn, 1)}
	c.join(key, w)
	select {
	case d := <-w.result:
		return d.tokens, d.wait, d.reached
	case <-bounded.Done():
		go c.keepLate(key, w)
		return 0, unreachableWait, false
	}
}

// keepLate leaves the tokens of a request that has timed out to later requests.
func (c *Client) keepLate(key drawKey, w *waiter) {
	d := <-w.result
	c.Limiter.AddDrawn(key.organisation, key.limit, quota.Order{Need: w.order.Need}, 0, d.tokens, d.reached, time.Now())
}

// join adds a request to those that wait, and starts a call if none is under way.
func (c *Client) join(key drawKey, w *waiter) {
	c.sharedDraws.mu.Lock()
	defer c.sharedDraws.mu.Unlock()
	d, found := c.sharedDraws.byKey[key]
	if !found {
		d = &sharedDraw{}
		c.sharedDraws.byKey[key] = d
	}
	d.waiting = append(d.waiting, w)
	switch {
	case d.running == 0:
		c.start(key, d)
	case !d.due:
		d.due = true
		time.AfterFunc(shareDelay, func() { c.startDelayed(key, d) })
	}
}

// start makes a call for all that wait. The caller holds mu.
func (c *Client) start(key drawKey, d *sharedDraw) {
	batch := d.waiting
	d.waiting = nil
	d.running++
	c.sharedDraws.shared.Add(int64(len(batch) - 1))
	go c.call(key, d, batch)
}

// startDelayed makes a call for the requests that still wait after shareDelay.
func (c *Client) startDelayed(key drawKey, d *sharedDraw) {
	c.sharedDraws.mu.Lock()
	defer c.sharedDraws.mu.Unlock()
	d.due = false
	if len(d.waiting) > 0 {
		c.start(key, d)
	}
}

// call draws for a batch, and passes the tokens on in the order of arrival.
func (c *Client) call(key drawKey, d *sharedDraw, batch []*waiter) {
	order := combine(batch)
	total := c.drawAlone(context.Background(), key, order)
	if total.reached && total.tokens == 0 && total.wait > 0 {
		c.Limiter.NoteShortage(key.organisation, key.limit, order.Need, total.wait, time.Now())
		batch = append(batch, c.takeRefused(d, order.Need)...)
	}
	c.end(key, d)
	distribute(batch, total, key.limit)
}

// end starts the next call, or forgets the organisation if nobody waits.
func (c *Client) end(key drawKey, d *sharedDraw) {
	c.sharedDraws.mu.Lock()
	defer c.sharedDraws.mu.Unlock()
	d.running--
	switch {
	case d.running > 0:
	case len(d.waiting) > 0:
		c.start(key, d)
	default:
		delete(c.sharedDraws.byKey, key)
	}
}

// takeRefused removes those that wait for as many tokens as the pool has just refused, or more.
func (c *Client) takeRefused(d *sharedDraw, need float64) (refused []*waiter) {
	c.sharedDraws.mu.Lock()
	defer c.sharedDraws.mu.Unlock()
	var left []*waiter
	for _, w := range d.waiting {
		if w.order.Need >= need {
			refused = append(refused, w)
			continue
		}
		left = append(left, w)
	}
	d.waiting = left
	c.sharedDraws.shared.Add(int64(len(refused)))
	return refused
}

// combine returns the order for a batch: enough for its first request at least, and for all if
// possible.
func combine(batch []*waiter) (order quota.Order) {
	order.Need = batch[0].order.Need
	prefetch := 0.0
	for _, w := range batch {
		order.Want += w.order.Need
		prefetch = max(prefetch, w.order.Want-w.order.Need)
	}
	order.Want += prefetch
	return order
}

// distribute passes the tokens of a draw on. What nobody needs goes to the first request, which
// leaves it to later ones.
func distribute(batch []*waiter, total drawn, limit quota.Limit) {
	rest := total.tokens
	results := make([]drawn, len(batch))
	for i, w := range batch {
		results[i] = drawn{wait: total.wait, reached: total.reached}
		if rest >= w.order.Need {
			results[i].tokens = min(rest, w.order.Need+roundingTokens)
			rest -= results[i].tokens
		} else if total.tokens > 0 {
			results[i].wait = units.Seconds((w.order.Need - rest) / limit.RatePerSecond)
		}
	}
	results[0].tokens += rest
	for i, w := range batch {
		w.result <- results[i]
	}
}
