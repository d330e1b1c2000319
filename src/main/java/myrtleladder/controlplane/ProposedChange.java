package myrtleladder.controlplane;

import myrtleladder.replication.StateChange;

/**
 * A change of the replicated state that an operator's request asks for.
 *
 * @param change the change to replicate
 * @param onCommitted applies the committed state and responds to the request; does not run if the
 *     outcome of the change is unknown
 */
record ProposedChange(StateChange change, Runnable onCommitted) {}
