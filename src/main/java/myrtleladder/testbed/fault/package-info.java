/**
 * The words for what goes wrong between processes, the same in virtual time and on real sockets.
 */
package myrtleladder.testbed.fault;
