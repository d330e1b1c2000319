/** Numbered results and the base of the exceptions that carry one. */
package myrtleladder.result;
