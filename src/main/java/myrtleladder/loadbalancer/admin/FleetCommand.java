package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.BadOption;
import myrtleladder.error.OperatorError.NobodyAnswers;
import myrtleladder.error.OperatorError.PartOff;
import myrtleladder.error.OperatorError.PeerBusy;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Asks any process of a fleet what it holds. */
@Command(
        name = "fleet",
        description = "Asks a process what it holds of its fleet.",
        mixinStandardHelpOptions = true,
        subcommands = FleetCommand.Members.class)
final class FleetCommand {
    private static final Duration PATIENCE = Duration.ofSeconds(3);

    FleetCommand() {}

    /** Shows who is there. */
    @Command(
            name = "members",
            description = "Shows who is there, as the process that is asked holds it.",
            mixinStandardHelpOptions = true)
    static final class Members implements Callable<Integer> {
        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                required = true,
                description = "admin.listen of the process, as 127.0.0.1:9464")
        private String at;

        @Option(names = "--json", description = "the answer as it came, for programs")
        private boolean json;

        @Spec private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            String text = get("/members").orElseThrow(() -> new PartOff(at, "[fleet]"));
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                out.println(text);
                return 0;
            }
            JsonNode look = JsonMapper.builder().build().readTree(text);
            out.printf(
                    Locale.ROOT,
                    "%s holds %d present, its own health is %d (0 is well)%n",
                    look.at("/self/name").asText(),
                    look.get("present").asInt(),
                    look.get("health").asInt());
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
            for (JsonNode held : look.get("members")) {
                JsonNode c = held.get("claim");
                out.printf(
                        Locale.ROOT,
                        "%-20s %-8s %11d %9.1f  %-22s %-12s %-12s %s%n",
                        c.get("name").asText(),
                        c.get("state").asText().toLowerCase(Locale.ROOT),
                        c.get("incarnation").asLong(),
                        held.get("seconds").asDouble(),
                        c.get("address").asText(),
                        c.at("/meta/zone").asText(),
                        c.get("by").asText(),
                        c.get("rival").asBoolean() ? "NAME HELD TWICE" : "");
            }
            dropped(out, look);
            Optional<String> agreed = get("/agreement");
            if (agreed.isPresent()) {
                agreement(out, JsonMapper.builder().build().readTree(agreed.get()));
            }
            return 0;
        }

        private static void dropped(PrintWriter out, JsonNode look) {
            look.get("refused")
                    .fields()
                    .forEachRemaining(
                            r ->
                                    out.printf(
                                            Locale.ROOT,
                                            "%d datagrams dropped: %s%n",
                                            r.getValue().asLong(),
                                            r.getKey()));
        }

        /** What is agreed on, where that is switched on. */
        private static void agreement(PrintWriter out, JsonNode look) {
            List<String> lives = new ArrayList<>();
            look.at("/view/lives").fieldNames().forEachRemaining(lives::add);
            out.printf(
                    Locale.ROOT,
                    "view %d of epoch %d: %s; %s, %s, %d decrees%n",
                    look.at("/view/number").asLong(),
                    look.at("/view/epoch").asLong(),
                    String.join(" ", lives),
                    look.get("leader").isNull()
                            ? "no leader is known"
                            : "led by " + look.at("/leader/name").asText(),
                    look.get("decides").asBoolean()
                            ? "a majority stands behind it"
                            : "CUT OFF: no majority is heard",
                    look.get("applied").asLong());
            dropped(out, look);
        }

        /** What the process answers; nothing where it has no such part. */
        private Optional<String> get(String part) throws OperatorError, InterruptedException {
            String uri = "http://" + at + part;
            try {
                HttpResponse<String> answer =
                        HttpClient.newHttpClient()
                                .send(
                                        HttpRequest.newBuilder(URI.create(uri))
                                                .timeout(PATIENCE)
                                                .build(),
                                        HttpResponse.BodyHandlers.ofString());
                return switch (answer.statusCode()) {
                    case 200 -> Optional.of(answer.body());
                    case 404 -> Optional.empty();
                    default -> throw new PeerBusy(at, answer.body().trim());
                };
            } catch (IllegalArgumentException e) {
                throw new BadOption("--at", at + " is not an address and port as 127.0.0.1:9464");
            } catch (IOException e) {
                throw new NobodyAnswers(at, e);
            }
        }
    }
}
