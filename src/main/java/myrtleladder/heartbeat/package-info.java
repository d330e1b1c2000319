/**
 * Failure detection among load balancers: each sends heartbeats to its successors on a ring, which
 * report the live ones to the primary of the control plane. The package does no I/O; all classes
 * are confined to one event loop.
 */
package myrtleladder.heartbeat;
