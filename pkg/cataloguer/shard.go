package cataloguer

import "crypto/sha256"

// Parser parses successive publications. It caches the entries of the last valid
// one, so that a publication that changes one of 128 shards is parsed faster than a
// whole catalogue. The zero value is ready to use. It is not safe for concurrent
// use.
type Parser struct {
	// shards maps the hash of each shard of the last valid publication to the
	// shard's entries.
	shards map[[sha256.Size]byte][]*Entry
}

// Parse is like the function Parse. The catalogues that it returns share the
// entries of unchanged shards.
func (c *Parser) Parse(manifest []byte, parts map[string][]byte) (*Catalogue, error) {
	p := &parser{
		catalogue: &Catalogue{
			Services:    map[string]*Service{},
			Classes:     map[string]*Class{},
			DataCentres: map[string]*DataCentre{},
			Endpoints:   map[string]*Endpoint{},
			Entries:     map[string]*Entry{},
			Keys:        map[KeyHash]*Entry{},
		},
		seenModels:    uniqueValues{},
		poolServices:  map[string]string{},
		seenAddresses: uniqueValues{},
		interned:      map[string]string{},
	}
	next := &Parser{shards: map[[sha256.Size]byte][]*Entry{}}
	p.parse(manifest, parts, c, next)
	if err := p.list.Err(); err != nil {
		return nil, wrapInvalid("parse catalogue", err)
	}
	*c = *next

	return p.catalogue, nil
}

// readShard reads a shard of entries, or reuses the entries that the last
// publication had under the same hash.
func (p *parser) readShard(name string, hash [sha256.Size]byte, parts map[string][]byte, last, next *Parser) {
	if entries, ok := last.shards[hash]; ok && p.reuseShard(entries) {
		next.shards[hash] = entries

		return
	}
	problems := p.list.Len()
	p.shardEntries = nil
	p.readArray(name, parts, p.readEntry, MaxEntries)
	if p.list.Len() == problems {
		next.shards[hash] = p.shardEntries
	}
}

// reuseShard adds the entries of an unchanged shard, and reports whether all are
// still valid. If one refers to a class or service that is gone, or repeats a name
// or key, it adds none.
func (p *parser) reuseShard(entries []*Entry) bool {
	for _, e := range entries {
		if p.catalogue.Classes[e.Class] == nil || p.catalogue.Entries[e.Name] != nil {
			return false
		}
		for _, s := range e.Services {
			if p.catalogue.Services[s] == nil {
				return false
			}
		}
		for _, k := range e.Keys {
			if p.catalogue.Keys[k] != nil {
				return false
			}
		}
	}
	for _, e := range entries {
		p.catalogue.Entries[e.Name] = e
		for _, k := range e.Keys {
			p.catalogue.Keys[k] = e
		}
	}

	return true
}
