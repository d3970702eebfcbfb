package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"snipedyke/internal/configurer"
	"snipedyke/internal/recorder"
	"snipedyke/pkg/cataloguer"
)

// checkPath checks a settings file, a trace or a directory of documents and
// returns a summary of its contents.
func checkPath(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.IsDir() {
		return checkDirectory(path)
	}
	if strings.HasSuffix(path, ".trace") || strings.HasSuffix(path, ".trace.gz") {
		return checkTrace(path)
	}
	file, err := configurer.LoadFile(path)
	if err != nil {
		return "", err
	}
	switch s := file.(type) {
	case configurer.Settings:
		return fmt.Sprintf("ok, settings of host %s in data centre %s", s.Name, s.DataCentre), nil
	case configurer.Routing:
		return fmt.Sprintf("ok, routing settings of host %s in data centre %s", s.Name, s.DataCentre), nil
	default:
		return "", fmt.Errorf("%s: unknown kind of settings", path)
	}
}

// checkTrace checks that a trace can be replayed, but doesn't check its expected
// outcomes.
func checkTrace(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	t, err := recorder.Decode(f)
	if err != nil {
		return "", err
	}

	return fmt.Sprintf("ok, trace of node %s with %d events and %d outcomes", t.Header.Self, len(t.Events), len(t.Outcomes)), nil
}

// checkDirectory checks the documents of a directory with the parser that nodes
// use. A directory may contain a catalogue, a host list, or both.
func checkDirectory(dir string) (string, error) {
	manifest, documents, err := cataloguer.ReadDirectory(dir)
	if err != nil {
		return "", err
	}
	list, hasHosts := documents[cataloguer.HostsName]
	delete(documents, cataloguer.HostsName)
	if manifest == nil && !hasHosts {
		return "", errors.New("the directory has neither a manifest.json nor a hosts.json")
	}
	text := "ok"
	var errs []error
	if manifest != nil {
		if _, err := cataloguer.ParseManifest(manifest); err != nil {
			errs = append(errs, err)
		} else if c, err := cataloguer.Parse(manifest, documents); err != nil {
			errs = append(errs, err)
		} else {
			text += fmt.Sprintf(", catalogue %d with %d endpoints and %d entries", c.Version, len(c.Endpoints), len(c.Entries))
		}
	}
	if hasHosts {
		h, err := cataloguer.ParseHosts(list)
		if err != nil {
			errs = append(errs, err)
		} else {
			text += fmt.Sprintf(", host list %d with %d hosts", h.Version, len(h.Hosts))
		}
	}

	return text, errors.Join(errs...)
}
