/**
 * The decision module on the simulator's protocol, JSON lines on standard input and output. {@link
 * myrtleladder.loadbalancer.simulator.BatchReader} and {@link
 * myrtleladder.loadbalancer.simulator.EventDispatcher} turn events into calls of the module's
 * instances, {@link myrtleladder.loadbalancer.simulator.DecisionWriter} writes their actions.
 * Nothing is decided here. Names of fields and kinds are the simulator's. All of it runs on one
 * thread.
 */
package myrtleladder.loadbalancer.simulator;
