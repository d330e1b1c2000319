package myrtleladder.loadbalancer.policy;

/**
 * The load that a peer reported for an upstream.
 *
 * @param atUs when the message came, microseconds
 * @param units in flight, in parts of a request: {@link PeerLoadExchange#UNITS_PER_REQUEST}
 */
record PeerLoad(long atUs, int units) {}
