/**
 * Who is there among the processes of a fleet: probes, suspicion and gossip, without a socket or a
 * clock. Times are microseconds of the process's steady clock, passed in.
 */
package myrtleladder.gossip;
