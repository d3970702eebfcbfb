package encoder

import "fmt"

const (
	// MaxOrigins is the maximum number of origins in a message.
	MaxOrigins = 2048
	// MaxVersionBytes is the maximum length of a software version in a message.
	MaxVersionBytes = 128
	// MaxServiceBytes is the maximum length of a service's name in an OriginQuery.
	MaxServiceBytes = 512
)

// bounded is a message with limits that its generated decoder does not check.
type bounded interface {
	// checkBounds returns an error if the message exceeds its limits.
	checkBounds() error
}

func (m *Origins) checkBounds() error {
	for i := range m.List {
		if n := len(m.List[i].Version); n > MaxVersionBytes {
			return fmt.Errorf("version of %d bytes", n)
		}
	}

	return nil
}

func (m *OriginQuery) checkBounds() error {
	if n := len(m.Service); n > MaxServiceBytes {
		return fmt.Errorf("service name of %d bytes", n)
	}

	return nil
}
