package myrtleladder.loadbalancer.policy;

/**
 * The load that a peer reported for an upstream.
 *
 * @param atUs when the message was received, microseconds
 * @param units load in flight, in fractions of a request: {@link
 *     PeerLoadExchange#UNITS_PER_REQUEST}
 */
record PeerLoad(long atUs, int units) {}
