// Package access decides what the holder of a token may do.
//
// Tokens come from a file with one token a line: role, name, team and token,
// separated by spaces. The file is read again when its content changes; a
// changed file with faults leaves the tokens in force as they are. Without a
// file, access is open to loopback addresses and closed to all others.
//
// # Usage
//
//	# role    name             team    token
//	caller    ledger-frontend  ledger  6f1c0b8e2f7d4a5b9c3e8d7f6a5b4c3d
//	support   desk             -       0a9b8c7d6e5f4a3b2c1d0e9f8a7b6c5d
//	operator  operations       -       1f2e3d4c5b6a79880716253443526170
//
//	list, err := access.Open(access.Options{File: "tokens"})
//	stopped := list.Watch(ctx)
//	grant, err := list.Authorize(token, remote)
//	if err != nil || !grant.MaySubmit("ledger") {
//		// Refuse with code forbidden.
//	}
package access

// Role says which calls a token is for.
type Role string

// The roles.
const (
	// RoleCaller submits, reads and cancels the work of its one team.
	RoleCaller Role = "caller"
	// RoleSupport reads the work of every team.
	RoleSupport Role = "support"
	// RoleOperator uses the operators' interface and reads and cancels the
	// work of every team.
	RoleOperator Role = "operator"
	// RoleOpen is given to loopback addresses when there is no token file; it
	// may do everything.
	RoleOpen Role = "open"
)

// Grant is what a token allows.
type Grant struct {
	Role Role
	// Team is set for RoleCaller only.
	Team string
	// Name is the name of the token, for events; it is not secret.
	Name string
}

// MaySubmit reports whether work of the team may be submitted.
func (g Grant) MaySubmit(team string) bool {
	return g.Role == RoleOpen || g.Role == RoleCaller && g.Team == team
}

// MayRead reports whether work of the team may be seen.
func (g Grant) MayRead(team string) bool {
	return g.MaySubmit(team) || g.Role == RoleSupport || g.Role == RoleOperator
}

// MayCancel reports whether work of the team may be cancelled.
func (g Grant) MayCancel(team string) bool {
	return g.MaySubmit(team) || g.Role == RoleOperator
}

// MayOperate reports whether the operators' interface may be changed through.
func (g Grant) MayOperate() bool { return g.Role == RoleOpen || g.Role == RoleOperator }

// MayInspect reports whether the operators' interface may be read.
func (g Grant) MayInspect() bool { return g.MayOperate() || g.Role == RoleSupport }
