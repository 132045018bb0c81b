package control

// RenewPolicySnapshot replaces the copy that members get on request by a newer
// one of the same version. A copy that includes more of the log closes the gap
// of a member for which retention dropped records; a copy from the time of the
// last change might not reach that far. It is called on the control thread.
func (n *Node) RenewPolicySnapshot(version uint64, snapshot []byte) {
	if version == n.policy.version {
		n.policy.snapshot = snapshot
	}
}
