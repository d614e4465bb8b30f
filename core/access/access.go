// Package access authenticates callers by their keys and authorises
// organisations to use routes. It decides by this VM's own state and does no
// I/O. Its errors have the code fault.Unauthenticated or fault.Forbidden.
package access

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/core/vmstate"
)

// HashSecret returns the hexadecimal SHA-256 hash of a key's secret, the only form
// in which the secret is stored.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the key that belongs to a secret. The error is
// fault.Unauthenticated if the secret is empty or unknown, or the key withdrawn.
func Authenticate(s *vmstate.State, secret string) (key catalogue.Key, err error) {
	if secret == "" {
		return key, fault.New(fault.Unauthenticated, "the request has no key; send it as 'Authorization: Bearer KEY'")
	}
	key, found := s.Catalogue.Read().KeyBySecretHash(HashSecret(secret))
	if !found {
		return key, fault.New(fault.Unauthenticated, "the key is not known")
	}
	if s.KeyInvalid(key.ID) {
		return key, fault.New(fault.Unauthenticated, "the key is withdrawn")
	}
	return key, nil
}

// CheckRoute returns an error if an organisation may not use a route:
// fault.Unauthenticated without an organisation, fault.Forbidden otherwise.
func CheckRoute(route catalogue.Route, organisation string) error {
	if route.Open {
		return nil
	}
	if organisation == "" {
		return fault.New(fault.Unauthenticated, "route %q needs a key", route.Name)
	}
	if len(route.Organisations) > 0 && !slices.Contains(route.Organisations, organisation) {
		return fault.New(fault.Forbidden, "route %q is not open to organisation %q", route.Name, organisation)
	}
	return nil
}

// CheckForwarded checks a request that another VM has forwarded, instead of
// trusting that VM's checks: the key must be valid here and belong to the
// organisation, which must be allowed to use the route.
func CheckForwarded(s *vmstate.State, route catalogue.Route, organisation, keyID string) error {
	if route.Open && keyID == "" {
		return nil
	}
	if s.KeyInvalid(keyID) {
		return fault.New(fault.Unauthenticated, "the key is withdrawn")
	}
	if key := s.Catalogue.Read().Keys[keyID]; key.Organisation != organisation {
		return fault.New(fault.Forbidden, "key %q does not belong to organisation %q", keyID, organisation)
	}
	return CheckRoute(route, organisation)
}
