/**
 * The messages of the internal protocol between control nodes and balancers, and the state that
 * control nodes store. Each message says who sends it to whom and what the receiver does; {@code
 * myrtleladder.rpc} carries them.
 */
package myrtleladder.protocol;
