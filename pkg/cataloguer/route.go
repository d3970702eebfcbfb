package cataloguer

import (
	"cmp"
	"slices"
	"strings"
)

// routeMethods lists the accepted methods of routes.
var routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*"}

// Route returns the route of a call to a plain service, and reports whether there
// is one. The route with the longest matching path prefix of whole segments is
// selected; among equal prefixes, one with the call's method takes precedence over
// "*". A path that the endpoint might resolve to a different one, because it has
// dotted or empty segments, a backslash or an escaped slash or dot, has no route.
func (s *Service) Route(method, path string) (Route, bool) {
	if !isCleanPath(path) {
		return Route{}, false
	}
	best := -1
	for i, r := range s.Routes {
		if r.Method != "*" && r.Method != method || !hasSegmentPrefix(path, r.Path) {
			continue
		}
		if best < 0 || len(r.Path) > len(s.Routes[best].Path) ||
			len(r.Path) == len(s.Routes[best].Path) && s.Routes[best].Method == "*" {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}

	return s.Routes[best], true
}

// hasSegmentPrefix reports whether the path begins with the prefix and the prefix
// ends at a segment boundary.
func hasSegmentPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)

	return ok && (prefix == "/" || rest == "" || rest[0] == '/')
}

// isCleanPath reports whether all servers resolve the path to the same resource: it
// starts with a slash, has no empty or dotted segment except an empty last one, and
// has no backslash, query, fragment or escape that a server may decode to a
// separator, a dot, a percent sign or a NUL.
func isCleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\?#") {
		return false
	}
	lower := strings.ToLower(path)
	for _, escape := range []string{"%2e", "%2f", "%5c", "%25", "%00"} {
		if strings.Contains(lower, escape) {
			return false
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || s == "" && i < len(segments)-1 {
			return false
		}
	}

	return true
}

func sortHosts(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
}

// ServiceClasses returns the names of the classes whose requests may reach a
// service. Only these classes need reserved slots in its pools.
func (c *Catalogue) ServiceClasses(service string) map[string]bool {
	classes := map[string]bool{}
	s := c.Services[service]
	if s == nil {
		return classes
	}
	usesEntryClass := s.Kind == ModelService
	for _, r := range s.Routes {
		if r.Class == "" {
			usesEntryClass = true
		} else {
			classes[r.Class] = true
		}
	}
	if !usesEntryClass {
		return classes
	}
	for _, e := range c.Entries {
		if len(e.Services) == 0 || slices.Contains(e.Services, service) {
			classes[e.Class] = true
		}
	}

	return classes
}
