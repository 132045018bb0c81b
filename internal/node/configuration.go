package node

import "yuccalanding.example/yuccalanding/internal/control"

// policyCopy takes a member's copy of a newer configuration.
func (p *Process) policyCopy(*control.PolicyWanted) {}
