/**
 * Pure cores on a seeded scheduler: thousands of processes and millions of events in one thread.
 */
package myrtleladder.testbed.simulation;
