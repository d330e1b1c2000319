/**
 * The control plane: stores the state that all processes of the fleet share and distributes it.
 *
 * <p>Path of a configuration change: {@link myrtleladder.controlplane.ConfigurationRequestHandler}
 * receives the HTTP request, {@link myrtleladder.controlplane.OperatorRequestQueue} queues it,
 * {@link myrtleladder.controlplane.ChangeValidation} validates it, {@link
 * myrtleladder.replication.Replica} stores it on all replicas of the view, {@link
 * myrtleladder.controlplane.CommittedConfiguration} makes it the current configuration, {@link
 * myrtleladder.controlplane.PollRequestHandler} answers the long polls of balancers with it, and
 * the operator's request is acknowledged. Requests to drain a zone start at {@link
 * myrtleladder.controlplane.DrainRequestHandler} and take the same path.
 *
 * <p>Path of an upstream's heartbeat or departure: {@link
 * myrtleladder.controlplane.InstanceRequestHandler} receives it, {@link
 * myrtleladder.controlplane.InstanceRegistry} merges it, {@link
 * myrtleladder.controlplane.InstanceReplicator} sends it to the other nodes, and responses to polls
 * deliver it to the balancers.
 *
 * <p>All classes are confined to the event loop of the process, except {@link
 * myrtleladder.controlplane.AsyncStateWriter} and {@link
 * myrtleladder.controlplane.AsyncTallyWriter}, whose threads write to disk. Times are in
 * milliseconds on the scheduler's monotonic clock.
 */
package myrtleladder.controlplane;
