package myrtleladder.consensus;

/**
 * A node that follows a leader, or waits for one.
 *
 * @param leader null while none is known in this term
 */
record FollowerState(ProcessId leader) implements RoleState {}
