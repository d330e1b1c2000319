/**
 * Machines taken out for work in an order that the balancers settle among themselves. A pure core
 * on top of the agreement: it keeps no time and does nothing but through the interfaces that it is
 * given.
 */
package myrtleladder.maintenance;
