/** Follows each request at both ends and says which rules were broken, and by which request. */
package myrtleladder.testbed.checker;
