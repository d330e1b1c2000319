/** The settings as the users write them, for both the simulator's wire and the sockets. */
package myrtleladder.loadbalancer.settings;
