package chooser

// Plain returns the endpoint of a plain service with the least load, or nil if
// there is none.
func Plain(endpoints []*Engine) *Engine { return least(endpoints) }
