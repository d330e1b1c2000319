/**
 * The single thread of a process that runs socket events, timers and tasks, on Grizzly's transport.
 */
package myrtleladder.eventloop;
