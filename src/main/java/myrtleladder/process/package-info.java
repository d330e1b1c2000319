/** What the programs of the fleet have in common: settings and command line. */
package myrtleladder.process;
