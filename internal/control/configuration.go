package control

// RenewPolicySnapshot replaces the policy snapshot that members get on request
// by a newer snapshot of the same version. A snapshot covers the log up to the
// time at which it was taken. A member that misses records which retention has
// dropped needs a snapshot that reaches past them; the one from the last policy
// change might be too old. It must be called on the control thread.
func (n *Node) RenewPolicySnapshot(version uint64, snapshot []byte) {
	if version == n.policy.version {
		n.policy.snapshot = snapshot
	}
}
