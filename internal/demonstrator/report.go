package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of the demo.
type Report struct {
	Sites []SiteReport `json:"sites"`
	// Passed reports whether all guarantees held.
	Passed bool `json:"passed"`
}

// SiteReport is the result of one site.
type SiteReport struct {
	Name    string        `json:"name"`
	Nodes   int           `json:"nodes"`
	Classes []ClassReport `json:"classes"`
	// Overshoots counts the requests that cold endpoints received beyond their
	// cold limits.
	Overshoots int `json:"overshoots"`
	// Violations lists the violated guarantees.
	Violations []string `json:"faults"`
}

// ClassReport summarizes the requests of a class. Its durations are encoded in
// nanoseconds.
type ClassReport struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Requests int    `json:"requests"`
	// Answered counts complete answers, and Met those within the targets of the
	// class.
	Answered int `json:"answered"`
	Met      int `json:"met"`
	// Attainment is the ratio of Met to Requests.
	Attainment float64 `json:"attainment"`
	// P50 and P95 are quantiles of the time to the first token, or to the
	// answer of a plain call.
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	// Refusals counts the requests without a complete answer by reason.
	Refusals map[string]int `json:"refusals"`
	// Tokens counts the tokens that engines generated for the tier, and Wasted
	// those that were not part of a complete answer to a caller.
	Tokens int `json:"tokens"`
	Wasted int `json:"wasted"`

	deliveredTokens int
}

// setPassed sets Passed to whether no site has a violation.
func (r *Report) setPassed() {
	r.Passed = !slices.ContainsFunc(r.Sites, func(s SiteReport) bool { return len(s.Violations) > 0 })
}

// violations returns the violations of all sites, each with the name of its site.
func (r *Report) violations() string {
	var all []string
	for _, s := range r.Sites {
		for _, f := range s.Violations {
			all = append(all, s.Name+": "+f)
		}
	}

	return strings.Join(all, "; ")
}

func (r *Report) write(out io.Writer, asJSON bool) error {
	if asJSON {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		_, err = out.Write(append(data, '\n'))

		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var text strings.Builder
	for _, s := range r.Sites {
		fmt.Fprintf(&text, "\n%s: %d nodes\n", s.Name, s.Nodes)
		text.WriteString("class\ttier\trequests\tanswered\ton target\tfirst p50\tfirst p95\twasted tokens\trefused\n")
		for _, c := range s.Classes {
			fmt.Fprintf(&text, "%s\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\n", c.Class, c.Tier, c.Requests, c.Answered, 100*c.Attainment,
				c.P50.Round(time.Millisecond), c.P95.Round(time.Millisecond), c.formatWasted(), c.formatRefusals())
		}
		fmt.Fprintf(&text, "requests beyond a cold limit: %d\n", s.Overshoots)
		for _, f := range s.Violations {
			fmt.Fprintf(&text, "BROKEN: %s\n", f)
		}
	}
	if r.Passed {
		text.WriteString("\nevery answer was right, and nothing ran twice that must not\n")
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return err
	}

	return w.Flush()
}

func (c *ClassReport) formatWasted() string {
	if c.Tokens == 0 {
		return "-"
	}

	return fmt.Sprintf("%d of %d", c.Wasted, c.Tokens)
}

func (c *ClassReport) formatRefusals() string {
	if len(c.Refusals) == 0 {
		return "-"
	}
	reasons := make([]string, 0, len(c.Refusals))
	for _, reason := range slices.Sorted(maps.Keys(c.Refusals)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, c.Refusals[reason]))
	}

	return strings.Join(reasons, ", ")
}
