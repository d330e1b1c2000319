/**
 * The program's own command line. {@code serve}, {@code adapter} and {@code rehearse} go on without
 * it.
 */
package myrtleladder.loadbalancer.admin;
