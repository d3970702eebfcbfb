package aggregator

import (
	"encoding/binary"
	"net/netip"
)

// number returns an IPv4 address as a number, which is zero for an invalid one.
func number(addr netip.Addr) uint32 {
	if !addr.IsValid() {
		return 0
	}
	b := addr.Unmap().As4()

	return binary.BigEndian.Uint32(b[:])
}

func numbers(addrs []netip.Addr) []uint32 {
	list := make([]uint32, 0, len(addrs))
	for _, addr := range addrs {
		list = append(list, number(addr))
	}

	return list
}

// address returns the IPv4 address of a number.
func address(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)

	return netip.AddrFrom4(b)
}
