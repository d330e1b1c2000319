/**
 * Calls between the processes of the fleet: messages of {@code myrtleladder.protocol} over HTTP.
 */
package myrtleladder.rpc;
