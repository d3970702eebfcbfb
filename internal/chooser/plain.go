package chooser

// ChoosePlain returns the least loaded endpoint of a plain service, or nil if
// there is none.
func ChoosePlain(endpoints []*Engine) *Engine { return leastLoaded(endpoints) }
