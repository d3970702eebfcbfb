package director

// versionServes reports whether an endpoint of the version at which the request's
// stream began may be able to go on with it, now or later.
func (d *Director) versionServes(req *request) bool {
	for _, e := range req.service.endpoints {
		if d.registrar.Usable(e.entry.ID) && !e.leaving() && d.canRun(req, e) {
			return true
		}
	}

	return false
}
