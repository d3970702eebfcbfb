package cataloguer

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// documentSuffix is the file name suffix of documents.
const documentSuffix = ".json"

// ReadDirectory reads the documents of a directory. The file of a document has the
// document's name and the suffix ".json"; other files are ignored. The host list,
// if there is one, is among the parts. The documents are not validated.
func ReadDirectory(dir string) (manifest []byte, parts map[string][]byte, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, wrapInvalid("read directory", err)
	}
	parts = map[string][]byte{}
	for _, f := range files {
		name, ok := strings.CutSuffix(f.Name(), documentSuffix)
		if !ok || name != ManifestName && name != HostsName && !isDocument(name) {
			continue
		}
		body, err := readBounded(filepath.Join(dir, f.Name()))
		if err != nil {
			return nil, nil, wrapInvalid("read directory", err)
		}
		parts[name] = body
	}
	manifest = parts[ManifestName]
	delete(parts, ManifestName)

	return manifest, parts, nil
}

// readBounded reads a file of at most MaxDocument bytes.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	body, err := io.ReadAll(io.LimitReader(f, MaxDocument+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxDocument {
		return nil, fmt.Errorf("%s: more than %d bytes", path, MaxDocument)
	}

	return body, nil
}
