/**
 * Errors of the load balancer and its tools for operators: one family of types, each with a
 * permanent code.
 */
package myrtleladder.error;
