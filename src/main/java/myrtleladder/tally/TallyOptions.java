package myrtleladder.tally;

import java.util.List;

/**
 * The configuration of the tallies on one node.
 *
 * @param address host and port of this node's internal protocol
 * @param zone name of this node's zone
 * @param process identity of this process, drawn at its start; never used before
 * @param toleratedMachines the number of machines that may lose their disks at one time
 * @param toleratedZones the number of zones that may be lost at one time
 * @param bootstrap whether this is the first start of the system, so that an empty disk lacks
 *     nothing
 * @param seeds internal addresses of nodes to ask at first; this node's own is ignored
 */
public record TallyOptions(
        String address,
        String zone,
        String process,
        int toleratedMachines,
        int toleratedZones,
        boolean bootstrap,
        List<String> seeds) {}
