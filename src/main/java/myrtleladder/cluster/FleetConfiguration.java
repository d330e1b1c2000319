package myrtleladder.cluster;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import myrtleladder.gossip.GossipSettings;
import myrtleladder.gossip.MemberMetadata;

/**
 * How a process takes part in its fleet.
 *
 * @param name of the process, the same in all its lives and nobody else's
 * @param listen where it hears the others, and what they are told of it
 * @param seeds addresses at which others may be found
 * @param via addresses to send to in place of those that members tell, as behind a translation of
 *     addresses
 */
public record FleetConfiguration(
        GossipSettings settings,
        String name,
        InetSocketAddress listen,
        List<String> seeds,
        Map<String, String> via,
        MemberMetadata meta) {}
