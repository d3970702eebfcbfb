package pinner

import "time"

// Versions holds the software versions of a service's endpoints. The zero value
// has none. It is not safe for concurrent use.
type Versions struct {
	// endpoints is the number of endpoints by version; it has no zero values.
	endpoints map[string]int
	// removedAt is when the last endpoint of a version was removed. It has no
	// version that is in endpoints.
	removedAt map[string]time.Time
}

// Add records that an endpoint has been added.
func (v *Versions) Add(version string) {
	if v.endpoints == nil {
		v.endpoints, v.removedAt = map[string]int{}, map[string]time.Time{}
	}
	v.endpoints[version]++
	delete(v.removedAt, version)
}

// Remove records that an endpoint has been removed.
func (v *Versions) Remove(now time.Time, version string) {
	if v.endpoints[version]--; v.endpoints[version] == 0 {
		delete(v.endpoints, version)
		v.removedAt[version] = now
	}
}

// Sole returns the version of all endpoints that the service has had within the
// given time, and reports whether there is only one.
func (v *Versions) Sole(now time.Time, within time.Duration) (version string, sole bool) {
	count := len(v.endpoints)
	for version = range v.endpoints {
		break
	}
	for removed, at := range v.removedAt {
		if now.Sub(at) >= within {
			delete(v.removedAt, removed)

			continue
		}
		count++
		version = removed
	}

	return version, count == 1
}

// Several reports whether the service has had endpoints of more than one version
// within the given time.
func (v *Versions) Several(now time.Time, within time.Duration) bool {
	if _, sole := v.Sole(now, within); sole {
		return false
	}

	return len(v.endpoints)+len(v.removedAt) > 1
}

// List returns the versions of the present endpoints in no particular order.
func (v *Versions) List() []string {
	list := make([]string, 0, len(v.endpoints))
	for version := range v.endpoints {
		list = append(list, version)
	}

	return list
}
