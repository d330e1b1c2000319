package myrtleladder.cluster;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import myrtleladder.gossip.GossipSettings;
import myrtleladder.gossip.MemberMetadata;

/**
 * How a process takes part in its fleet.
 *
 * @param settings of the membership
 * @param name of this process, the same at each start and not used by any other
 * @param listen where it receives datagrams; also the address that others are told
 * @param seeds addresses at which other members may be found
 * @param addressTranslations addresses to send to, by the addresses that members publish, as where
 *     addresses are translated between them
 * @param metadata what this process publishes about itself
 */
public record FleetConfiguration(
        GossipSettings settings,
        String name,
        InetSocketAddress listen,
        List<String> seeds,
        Map<String, String> addressTranslations,
        MemberMetadata metadata) {}
