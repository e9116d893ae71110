package currantloom

import "net/netip"

// CheckAddress checks that an address is an IP address and a port that can be dialled.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ErrInput.Wrap(err, "address")
	}
	if a.Port() == 0 {
		return ErrInput.New("address %q has no port", address)
	}
	return nil
}
