package myrtleladder.testbed.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.fake.RequestClass;

/** What a balancer of the lab is told at its start, in the platform's form (DEPLOY). */
public record BalancerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int position,
        int balancers,
        int sockets,
        String known,
        List<RequestClass> classes,
        Rules rules) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MOST_TRIES = 4;

    /** The file's text. */
    public String json() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("name", name);
            out.writeStringField("listen", text(listen));
            out.writeStringField("discovery", text(discovery));
            out.writeStringField("seed", Long.toHexString(seed));
            out.writeObjectFieldStart("limits");
            out.writeNumberField("cores", 1.0);
            out.writeNumberField("memory_mb", 192);
            out.writeNumberField("sockets", sockets);
            out.writeEndObject();
            out.writeFieldName("known");
            out.writeRawValue(known);
            out.writeObjectFieldStart("settings");
            settings(out);
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a string takes all that is written to it
        }
        return text.toString();
    }

    private void settings(JsonGenerator out) throws IOException {
        out.writeNumberField("az", 0);
        names(out, "localities", List.of("zone"));
        names(out, "kinds", List.of("kind"));
        out.writeNumberField("group-size", balancers);
        out.writeNumberField("position", position);
        out.writeNumberField("tick-s", 0.005);
        out.writeStringField("discovery", "on_request");
        out.writeArrayFieldStart("classes");
        for (RequestClass c : classes) {
            out.writeStartObject();
            out.writeStringField("name", c.name());
            out.writeStringField(
                    "repeat",
                    c.repeat() == Repeat.FREE
                            ? "free"
                            : c.repeat() == Repeat.KEYED ? "guarded" : "single_shot");
            out.writeStringField("dedup-scope", "all");
            out.writeNumberField("aim-s", c.aim() / 1e6);
            out.writeNumberField("give-up-s", c.giveUp() / 1e6);
            out.writeNumberField("memory-span-s", c.memory() / 1e6);
            out.writeNumberField("worth", c.worth());
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeObjectFieldStart("ceilings");
        out.writeBooleanField("cancel", true);
        out.writeBooleanField("retry-after", true);
        out.writeNumberField("max-retry-after-s", 2.5);
        out.writeNumberField("try-limit", MOST_TRIES);
        out.writeNumberField("connect-timeout-s", 0.1);
        out.writeNumberField("conn-idle-s", 30);
        out.writeEndObject();
        out.writeObjectFieldStart("report");
        names(out, "names", List.of("cpu", "rps", "err_rps"));
        out.writeStringField("via", "piggyback");
        out.writeEndObject();
        out.writeObjectFieldStart("rules");
        out.writeNumberField("answer-slack-s", rules.answerSlackUs() / 1e6);
        out.writeNumberField("ask-within-s", 10);
        out.writeNumberField("cold-s", rules.slowStartUs() / 1e6);
        out.writeNumberField("drain-grace-s", rules.drainGraceUs() / 1e6);
        out.writeNumberField("fall-multiple", rules.overloadMultiple());
        out.writeNumberField("fall-s", rules.overloadWindowUs() / 1e6);
        out.writeNumberField("start-capacity", rules.startCapacity());
        out.writeEndObject();
    }

    private static void names(JsonGenerator out, String field, List<String> names)
            throws IOException {
        out.writeArrayFieldStart(field);
        for (String n : names) {
            out.writeString(n);
        }
        out.writeEndArray();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
