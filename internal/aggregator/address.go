package aggregator

import (
	"encoding/binary"
	"net/netip"
)

// addrToUint32 returns an IPv4 address in network byte order as an integer, or
// zero if the address is invalid.
func addrToUint32(addr netip.Addr) uint32 {
	if !addr.IsValid() {
		return 0
	}
	b := addr.Unmap().As4()

	return binary.BigEndian.Uint32(b[:])
}

func addrsToUint32(addrs []netip.Addr) []uint32 {
	list := make([]uint32, 0, len(addrs))
	for _, addr := range addrs {
		list = append(list, addrToUint32(addr))
	}

	return list
}

// uint32ToAddr returns the IPv4 address with the given integer value.
func uint32ToAddr(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)

	return netip.AddrFrom4(b)
}
