package myrtleladder.tally;

import java.util.List;

/**
 * The configuration of the tallies on one node.
 *
 * @param address host and port of this node's internal protocol
 * @param zone name of this node's zone
 * @param process unique identity of this process, generated anew at each start
 * @param toleratedMachines the number of machines that may lose their disks at the same time
 * @param toleratedZones the number of zones that may be lost at the same time
 * @param isDiskComplete whether the disk holds everything that this node ever saved: either the
 *     disk was used before and has not been lost, or this is the first start of the system and
 *     nothing has been saved yet
 * @param seeds internal addresses of the nodes to contact first; this node's own address is ignored
 */
public record TallyOptions(
        String address,
        String zone,
        String process,
        int toleratedMachines,
        int toleratedZones,
        boolean isDiskComplete,
        List<String> seeds) {}
