/**
 * Connects the decision module to the simulator's protocol, JSON lines on standard input and
 * output. {@link myrtleladder.loadbalancer.simulator.BatchReader} and {@link
 * myrtleladder.loadbalancer.simulator.EventDispatcher} translate events into calls on instances of
 * the module, {@link myrtleladder.loadbalancer.simulator.DecisionWriter} writes their actions. This
 * package makes no decisions. The simulator defines the names of fields and kinds. All code runs on
 * one thread.
 */
package myrtleladder.loadbalancer.simulator;
