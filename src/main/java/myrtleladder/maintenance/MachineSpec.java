package myrtleladder.maintenance;

import java.util.Map;

/**
 * One machine of a plan, with what its fellows may not be out with it.
 *
 * @param machine its name on the agenda
 * @param upstream the upstream that it holds, null for none
 * @param member the process of the fleet that it holds, null for none
 * @param zone with kind and cell as discovery tells them
 * @param seconds so long its work takes at most
 */
public record MachineSpec(
        String machine,
        String upstream,
        String member,
        long zone,
        long kind,
        long cell,
        long seconds) {
    Map<String, Object> toMap() {
        return JsonMaps.map(
                "machine",
                machine,
                "upstream",
                upstream,
                "member",
                member,
                "zone",
                zone,
                "kind",
                kind,
                "cell",
                cell,
                "seconds",
                seconds);
    }

    static MachineSpec of(Map<String, Object> map) {
        return new MachineSpec(
                JsonMaps.text(map, "machine"),
                JsonMaps.text(map, "upstream"),
                JsonMaps.text(map, "member"),
                JsonMaps.number(map, "zone"),
                JsonMaps.number(map, "kind"),
                JsonMaps.number(map, "cell"),
                JsonMaps.number(map, "seconds"));
    }
}
