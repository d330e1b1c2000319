package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Splitting of server-sent event streams into complete events. */
class ServerSentEventSplitterTest {
    private final ServerSentEventSplitter splitter = new ServerSentEventSplitter();
    private final List<String> events = new ArrayList<>();
    private final List<Long> ids = new ArrayList<>();

    private void feed(String text) {
        splitter.feed(
                text.getBytes(StandardCharsets.UTF_8),
                (event, id) -> {
                    events.add(new String(event, StandardCharsets.UTF_8));
                    ids.add(id);
                });
    }

    private String remainder() {
        return new String(splitter.remainder(), StandardCharsets.UTF_8);
    }

    @Test
    void eventIsCompleteWithItsEmptyLineOnly() {
        feed("id: 1\ndata: a\n");
        assertEquals(List.of(), events);
        feed("\ndata");
        assertEquals(List.of("id: 1\ndata: a\n\n"), events);
        assertEquals("data", remainder());
    }

    @Test
    void linesMayEndWithCarriageReturnAndLineFeed() {
        feed("id: 7\r\ndata: a\r\n\r");
        assertEquals(List.of(), events);
        feed("\nid:8\r\n\r\n");
        assertEquals(List.of("id: 7\r\ndata: a\r\n\r\n", "id:8\r\n\r\n"), events);
        assertEquals(List.of(7L, 8L), ids);
    }

    @Test
    void eventsDoNotDependOnWhereTheStreamIsSplit() {
        String stream = "id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\n";
        for (int splitAt = 0; splitAt <= stream.length(); splitAt++) {
            events.clear();
            feed(stream.substring(0, splitAt));
            feed(stream.substring(splitAt));
            assertEquals(
                    List.of("id: 1\ndata: a\n\n", ": comment\n\n", "id: 2\r\ndata: b\r\n\r\n"),
                    events,
                    "split at " + splitAt);
            assertEquals("", remainder());
        }
    }

    @Test
    void nonNumericIdentifierCountsAsNone() {
        feed("id: x1\n\ndata: id: 3\n\nid:\n\n");
        long noId = ServerSentEventSplitter.NO_ID;
        assertEquals(List.of(noId, noId, noId), ids);
    }
}
