/** Stand-ins for what surrounds a balancer, written from the protocol. */
package myrtleladder.testbed.fake;
