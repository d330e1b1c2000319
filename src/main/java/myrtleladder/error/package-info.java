/**
 * Errors that the load balancer and its tools report to operators, each type with a permanent error
 * code.
 */
package myrtleladder.error;
