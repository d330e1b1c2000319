/**
 * Carries out on sockets what the cores of the fleet decide; loaded only where peers are
 * configured.
 */
package myrtleladder.cluster;
