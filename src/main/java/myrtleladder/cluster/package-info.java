/**
 * Runs the protocols of a fleet in a process: membership ({@link myrtleladder.gossip}), consensus
 * ({@link myrtleladder.consensus}) and the maintenance of machines ({@link
 * myrtleladder.maintenance}), over UDP with Netty.
 *
 * <p>Each {@code ...Runtime} gives one protocol its datagrams, timers and clock, carries out what
 * it asks for, and logs its events; each is attached to the one below. The {@code ...Status}
 * records are what operators see. The package is loaded only where a fleet is configured.
 *
 * <p>Threading: all of it is confined to the event loop of the load balancer. The methods that may
 * be called by other threads say so; they submit to the loop and return a future.
 */
package myrtleladder.cluster;
