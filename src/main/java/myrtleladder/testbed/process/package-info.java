/** Runs of the lab: processes of the program, what surrounds them, and the faults of a plan. */
package myrtleladder.testbed.process;
