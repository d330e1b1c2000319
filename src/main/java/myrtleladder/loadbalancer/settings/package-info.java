/**
 * The settings of the decision module as users write them, for the server's configuration file and
 * the simulator's protocol alike.
 */
package myrtleladder.loadbalancer.settings;
