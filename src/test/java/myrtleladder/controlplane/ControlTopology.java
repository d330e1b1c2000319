package myrtleladder.controlplane;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The nodes of a control plane, n0, n1 and so on, assigned to its zones in turn.
 *
 * @param toleratedMachines machines that may be lost at once
 * @param toleratedZones zones that may be lost at once
 */
record ControlTopology(int nodes, int zones, int toleratedMachines, int toleratedZones) {
    List<String> names() {
        return IntStream.range(0, nodes).mapToObj(position -> "n" + position).toList();
    }

    String zoneOf(String name) {
        return "z" + Integer.parseInt(name.substring(1)) % zones;
    }

    List<String> zoneNames() {
        return IntStream.range(0, zones).mapToObj(position -> "z" + position).toList();
    }

    List<String> namesIn(String zone) {
        return names().stream().filter(name -> zoneOf(name).equals(zone)).toList();
    }

    /** The name under which a fault proxy knows the applications of a zone. */
    static String applicationsIn(String zone) {
        return "applications-" + zone;
    }
}
