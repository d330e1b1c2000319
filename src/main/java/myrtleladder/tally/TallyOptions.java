package myrtleladder.tally;

import java.util.List;

/**
 * The configuration of the tallies on one node.
 *
 * @param address host and port of this node's internal protocol
 * @param zone name of this node's zone
 * @param process identity of this process, generated at its start and never used before
 * @param toleratedMachines the number of machines that may lose their disks at the same time
 * @param toleratedZones the number of zones that may be lost at the same time
 * @param isDiskComplete whether the disk holds everything that this node ever saved, even if that
 *     is nothing: the disk was used before and not lost, or this is the first start of the system
 * @param seeds internal addresses of the nodes to contact first; this node's own is ignored
 */
public record TallyOptions(
        String address,
        String zone,
        String process,
        int toleratedMachines,
        int toleratedZones,
        boolean isDiskComplete,
        List<String> seeds) {}
