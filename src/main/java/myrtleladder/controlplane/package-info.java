/**
 * The control plane: keeps what all processes of the fleet have to agree on, and distributes it.
 *
 * <p>The way of a configuration change: {@link
 * myrtleladder.controlplane.ConfigurationRequestHandler} takes the HTTP request, {@link
 * myrtleladder.controlplane.OperatorRequestQueue} lets it wait for its turn, {@link
 * myrtleladder.controlplane.ChangeValidation} checks it, {@link myrtleladder.replication.Replica}
 * stores it at all replicas of the view, {@link myrtleladder.controlplane.CommittedConfiguration}
 * makes it the one in force, {@link myrtleladder.controlplane.PollRequestHandler} answers the long
 * polls of balancers with it, and the operator gets the acknowledgement. Orders to drain a zone go
 * the same way from {@link myrtleladder.controlplane.DrainRequestHandler} on.
 *
 * <p>The way of a heartbeat or a departure: {@link
 * myrtleladder.controlplane.InstanceRequestHandler} takes it, {@link
 * myrtleladder.controlplane.InstanceRegistry} merges it, {@link
 * myrtleladder.controlplane.InstanceReplicator} sends it to the other nodes, and the same polls
 * carry it to the balancers.
 *
 * <p>All classes are confined to the event loop of the process, but for {@link
 * myrtleladder.controlplane.AsyncStateWriter}, whose thread writes to the disk. Times are
 * milliseconds of the scheduler's clock, which only advances.
 */
package myrtleladder.controlplane;
