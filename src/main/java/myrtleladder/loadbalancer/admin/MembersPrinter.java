package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats the status of membership and consensus as text for operators. */
final class MembersPrinter {
    private final PrintWriter out;

    MembersPrinter(PrintWriter out) {
        this.out = out;
    }

    /** Prints a response to {@code GET /members}. */
    void printMembers(JsonNode status) {
        out.printf(
                Locale.ROOT,
                "%s holds %d present, its own health is %d (0 is well)%n",
                status.at("/self/name").asText(),
                status.get("present").asInt(),
                status.get("health").asInt());
        out.printf(
                Locale.ROOT,
                "%-20s %-8s %11s %9s  %-22s %-12s %-12s %s%n",
                "member",
                "state",
                "incarnation",
                "since s",
                "address",
                "zone",
                "says",
                "");
        for (JsonNode listed : status.get("members")) {
            printMember(listed);
        }
        printDroppedDatagrams(status);
    }

    private void printMember(JsonNode listed) {
        JsonNode member = listed.get("claim");
        out.printf(
                Locale.ROOT,
                "%-20s %-8s %11d %9.1f  %-22s %-12s %-12s %s%n",
                member.get("name").asText(),
                member.get("state").asText().toLowerCase(Locale.ROOT),
                member.get("incarnation").asLong(),
                listed.get("seconds").asDouble(),
                member.get("address").asText(),
                member.at("/meta/zone").asText(),
                member.get("by").asText(),
                member.get("rival").asBoolean() ? "NAME HELD TWICE" : "");
    }

    private void printDroppedDatagrams(JsonNode status) {
        status.get("refused")
                .fields()
                .forEachRemaining(
                        reason ->
                                out.printf(
                                        Locale.ROOT,
                                        "%d datagrams dropped: %s%n",
                                        reason.getValue().asLong(),
                                        reason.getKey()));
    }

    /** Prints a response to {@code GET /agreement}. */
    void printConsensus(JsonNode status) {
        List<String> members = new ArrayList<>();
        status.at("/view/lives").fieldNames().forEachRemaining(members::add);
        String leader =
                status.get("leader").isNull()
                        ? "no leader is known"
                        : "led by " + status.at("/leader/name").asText();
        String majority =
                status.get("decides").asBoolean()
                        ? "a majority stands behind it"
                        : "CUT OFF: no majority is heard";
        out.printf(
                Locale.ROOT,
                "view %d of epoch %d: %s; %s, %s, %d decrees%n",
                status.at("/view/number").asLong(),
                status.at("/view/epoch").asLong(),
                String.join(" ", members),
                leader,
                majority,
                status.get("applied").asLong());
        printDroppedDatagrams(status);
    }
}
