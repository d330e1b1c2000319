package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.loadbalancer.policy.LogCapture;
import org.junit.jupiter.api.Test;

/** The order in which the decision module gets its events. */
class EventSerializerTest {
    private final EventSerializer events = new EventSerializer();
    private final List<String> handled = new ArrayList<>();

    @Test
    void eventThatArisesWithinAnotherRunsAfterIt() {
        events.run(
                () -> {
                    events.run(() -> handled.add("inner"));
                    handled.add("outer");
                });
        assertEquals(List.of("outer", "inner"), handled);
    }

    @Test
    void eventsGoOnAfterOneThatThrows() throws Exception {
        try (LogCapture lines = new LogCapture(EventSerializer.class)) {
            events.run(
                    () -> {
                        events.run(() -> handled.add("next"));
                        throw new IllegalStateException("of this test");
                    });
            assertEquals("the module failed on an event", lines.next());
        }
        assertEquals(List.of("next"), handled);
        events.run(() -> handled.add("later"));
        assertEquals(List.of("next", "later"), handled);
    }
}
