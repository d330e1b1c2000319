/** Faults between processes on real sockets: each link goes through a relay of the lab. */
package myrtleladder.testbed.proxy;
