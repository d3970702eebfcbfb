package reducer

import (
	"slices"
	"strings"
	"time"

	"snipedyke/pkg/encoder"
)

// maxOrderTime limits the duration of an emergency order, so that a forgotten
// one expires.
const maxOrderTime = 24 * time.Hour

// maxOrders limits the number of orders that a node keeps.
const maxOrders = 1024

// orderStore holds the emergency orders. An order can only take a data centre
// or an endpoint out of service, so it never puts back what the published
// catalogue has taken out.
type orderStore struct {
	orders map[string]*storedOrder
}

// storedOrder is an order with the local time at which it expires.
type storedOrder struct {
	encoder.Order
	expires time.Time
}

func newOrderStore() orderStore {
	return orderStore{orders: make(map[string]*storedOrder)}
}

// apply adds or cancels an order and reports whether that changed the store. A
// cancelled order stays cancelled, even if uncancelled copies arrive later.
func (b *orderStore) apply(now time.Time, o encoder.Order) bool {
	left := min(fromMicros(o.Left), maxOrderTime)
	if left <= 0 || o.ID == "" || (o.DataCentre == "") == (o.Endpoint == "") {
		return false
	}
	if stored := b.orders[o.ID]; stored != nil {
		if !o.Cancelled || stored.Cancelled {
			return false
		}
		stored.Cancelled = true

		return true
	}
	if len(b.orders) >= maxOrders {
		return false
	}
	b.orders[o.ID] = &storedOrder{Order: o, expires: now.Add(left)}

	return true
}

// takesOut reports whether an order takes exactly this target out of service:
// the data centre if endpoint is empty, the endpoint if dataCentre is empty.
func (b *orderStore) takesOut(dataCentre, endpoint string) bool {
	for _, o := range b.orders {
		if !o.Cancelled && o.DataCentre == dataCentre && o.Endpoint == endpoint {
			return true
		}
	}

	return false
}

// expire drops the orders whose time has passed, calls expired for each and
// reports whether there were any.
func (b *orderStore) expire(now time.Time, expired func(id string)) bool {
	dropped := false
	for _, o := range b.sorted() {
		if now.After(o.expires) {
			delete(b.orders, o.ID)
			expired(o.ID)
			dropped = true
		}
	}

	return dropped
}

// all returns the orders with their remaining times, sorted by ID.
func (b *orderStore) all(now time.Time) []encoder.Order {
	stored := b.sorted()
	orders := make([]encoder.Order, 0, len(stored))
	for _, stored := range stored {
		o := stored.Order
		o.Left = stored.expires.Sub(now).Microseconds()
		orders = append(orders, o)
	}

	return orders
}

func (b *orderStore) sorted() []*storedOrder {
	orders := make([]*storedOrder, 0, len(b.orders))
	for _, o := range b.orders {
		orders = append(orders, o)
	}
	slices.SortFunc(orders, func(x, y *storedOrder) int { return strings.Compare(x.ID, y.ID) })

	return orders
}
