// Package address checks the addresses that targets state of themselves.
package address

import (
	"net/netip"

	"kingcuprill/core/fault"
)

// Parse parses an address of the form IP:port that can be dialled. Its error has the code
// fault.Invalid.
func Parse(value string) (parsed netip.AddrPort, err error) {
	parsed, err = netip.ParseAddrPort(value)
	if err != nil {
		return parsed, fault.New(fault.Invalid, "address: %s must be IP:port", fault.Quote(value))
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return parsed, fault.New(fault.Invalid, "address: %s is none that can be dialled", fault.Quote(value))
	}
	return parsed, nil
}
