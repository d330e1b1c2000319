/** Handling of process signals. */
package myrtleladder.signal;
