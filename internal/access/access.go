// Package access authorizes calls by their token.
//
// The tokens are in a file with one token per line: role, name, team and token,
// separated by spaces. The file is polled, and changed content takes effect if it
// is valid; otherwise the tokens in force are kept. Without a file, calls from
// loopback addresses are allowed and all other calls are refused.
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

// Role determines which calls a token allows.
type Role string

// The roles.
const (
	// RoleCaller may submit, read and cancel the work of one team.
	RoleCaller Role = "caller"
	// RoleSupport may read the work of all teams and the operators' interface.
	RoleSupport Role = "support"
	// RoleOperator may use the operators' interface, and read and cancel the work
	// of all teams.
	RoleOperator Role = "operator"
	// RoleOpen is the role of calls from loopback addresses if there is no token
	// file. It allows all calls.
	RoleOpen Role = "open"
)

// Grant is what a token allows. The zero Grant allows nothing.
type Grant struct {
	Role Role
	// Team is set only for RoleCaller.
	Team string
	// Name is the name of the token in events. It is not secret.
	Name string
}

// MaySubmit reports whether the grant allows submitting work of the team.
func (g Grant) MaySubmit(team string) bool {
	return g.Role == RoleOpen || g.Role == RoleCaller && g.Team == team
}

// MayRead reports whether the grant allows reading work of the team.
func (g Grant) MayRead(team string) bool {
	return g.MaySubmit(team) || g.Role == RoleSupport || g.Role == RoleOperator
}

// MayCancel reports whether the grant allows canceling work of the team.
func (g Grant) MayCancel(team string) bool {
	return g.MaySubmit(team) || g.Role == RoleOperator
}

// MayOperate reports whether the grant allows changes through the operators'
// interface.
func (g Grant) MayOperate() bool { return g.Role == RoleOpen || g.Role == RoleOperator }

// MayInspect reports whether the grant allows reading the operators' interface.
func (g Grant) MayInspect() bool { return g.MayOperate() || g.Role == RoleSupport }
