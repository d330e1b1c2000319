/** Handlers for process signals. */
package myrtleladder.signal;
