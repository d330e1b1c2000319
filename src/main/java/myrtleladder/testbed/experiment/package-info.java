/** Experiments as files: what is played, what is expected of it, its record and its report. */
package myrtleladder.testbed.experiment;
