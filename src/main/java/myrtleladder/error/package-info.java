/**
 * What operators are told when something can't be done: one family of types, each with a code that
 * stays.
 */
package myrtleladder.error;
