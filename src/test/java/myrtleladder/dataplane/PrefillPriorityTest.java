package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.configuration.Route;
import org.junit.jupiter.api.Test;

/** Prefill classes of prompts, by expected prefill time and the route's target latency. */
class PrefillPriorityTest {
    private static Route route(int targetLatencyMs, int priority) {
        String document =
                "{\"generation\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
                        + "\"path_prefix\":\"/r/\",\"type\":\"streaming\",\"backend\":\"m\","
                        + "\"timeout_ms\":8000,\"target_latency_ms\":"
                        + targetLatencyMs
                        + ",\"priority\":"
                        + priority
                        + "}],\"services\":[{\"name\":\"m\"}]}";
        return Configuration.parse(JsonCodec.parseObject(document.getBytes(StandardCharsets.UTF_8)))
                .matchRoute("h", "/r/1");
    }

    @Test
    void prefillClassDependsOnTheFractionOfTheTargetLatency() {
        Route route = route(800, 1);
        assertEquals(0, PrefillPriority.prefillClass(route, 0));
        assertEquals(0, PrefillPriority.prefillClass(route, 100));
        assertEquals(1, PrefillPriority.prefillClass(route, 200));
        assertEquals(2, PrefillPriority.prefillClass(route, 700));
    }

    @Test
    void shorterTargetLatencyPutsAPromptInALaterClass() {
        assertEquals(1, PrefillPriority.prefillClass(route(500, 0), 100));
        assertEquals(0, PrefillPriority.prefillClass(route(2_000, 0), 100));
    }

    @Test
    void routeWithoutATargetLatencyIsInTheLastClass() {
        assertEquals(2, PrefillPriority.prefillClass(route(0, 0), 100));
    }
}
