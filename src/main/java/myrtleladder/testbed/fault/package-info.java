/**
 * The faults of processes and links, plans of faults that can be drawn and shrunk, and the effects
 * of a link's fault on its messages.
 *
 * <p>Shared by virtual time ({@code testbed.simulation}) and real sockets ({@code testbed.proxy},
 * {@code testbed.process}); depends on no other package of the test bed.
 */
package myrtleladder.testbed.fault;
