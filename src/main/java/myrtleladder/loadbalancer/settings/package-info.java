/**
 * Parses the settings of the decision module. The server's configuration file and the simulator's
 * protocol use the same format.
 */
package myrtleladder.loadbalancer.settings;
