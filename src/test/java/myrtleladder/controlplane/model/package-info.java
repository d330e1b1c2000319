/**
 * A deterministic simulation of the control plane: {@link
 * myrtleladder.controlplane.model.SimulatedCluster} runs the real code on a manual clock, {@link
 * myrtleladder.controlplane.model.FaultSchedule} injects random faults, and {@link
 * myrtleladder.controlplane.model.HistoryChecker} reports violated invariants. To show that it
 * would detect an error, {@link myrtleladder.controlplane.model.Safeguard}s of the protocol can be
 * removed.
 *
 * <p>All random choices derive from the seed of a run.
 */
package myrtleladder.controlplane.model;
