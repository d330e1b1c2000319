/**
 * The adapter between the decision module and a bench that speaks JSON lines; it decides nothing.
 */
package myrtleladder.loadbalancer.simulator;
