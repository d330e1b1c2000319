package myrtleladder.consensus;

import java.util.Map;

/**
 * The applied state of a node without the index and term that it covers.
 *
 * @param appliedSequences last applied command of each proposer, least recently applied first
 * @param stateMachine what {@link StateMachine#snapshot} returned
 */
record NodeSnapshot(View view, Map<ProcessId, Long> appliedSequences, byte[] stateMachine) {}
