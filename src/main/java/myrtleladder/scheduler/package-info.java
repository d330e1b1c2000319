/** Injected time: the clock and timers that protocols use, without sockets. */
package myrtleladder.scheduler;
