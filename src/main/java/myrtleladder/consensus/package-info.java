/**
 * What a fleet agrees on though some of it fails: a view with a number and a short log, without a
 * socket or a clock. Times are microseconds of the process's steady clock, passed in. See {@code
 * docs/agreement.md}.
 */
package myrtleladder.consensus;
