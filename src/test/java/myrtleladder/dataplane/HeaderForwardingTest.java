package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import myrtleladder.http.Headers;
import org.junit.jupiter.api.Test;

/** Header fields that are forwarded to upstreams and clients. */
class HeaderForwardingTest {
    @Test
    void hopByHopFieldsAndThoseThatConnectionListsAreNotForwarded() {
        Headers source =
                new Headers()
                        .add("Connection", "X-Hop , close")
                        .add("x-hop", "1")
                        .add("Keep-Alive", "timeout=5")
                        .add("TE", "trailers")
                        .add("Transfer-Encoding", "chunked")
                        .add("Content-Length", "3")
                        .add("X-Other", "2");
        Headers forwarded = HeaderForwarding.toClient(source);
        for (String name :
                new String[] {
                    "Connection", "X-Hop", "Keep-Alive", "TE", "Transfer-Encoding", "Content-Length"
                }) {
            assertNull(forwarded.get(name), name);
        }
        assertEquals("2", forwarded.get("X-Other"));
        assertEquals("1", source.get("X-Hop"), "the source is not modified");
    }

    @Test
    void fieldsThatTheBalancerSetsAreNotForwardedFromClients() {
        Headers source =
                new Headers()
                        .add("authorization", "Token k")
                        .add("Myrtleladder-Tenant", "forged")
                        .add("PRIORITY", "0")
                        .add("Last-Event-Id", "3")
                        .add(HeaderNames.ATTEMPT_ID, "a1");
        Headers forwarded = HeaderForwarding.toUpstream(source);
        assertNull(forwarded.get(HeaderNames.AUTHORIZATION));
        assertNull(forwarded.get(HeaderNames.TENANT));
        assertNull(forwarded.get(HeaderNames.PRIORITY));
        assertNull(forwarded.get(HeaderNames.LAST_EVENT_ID));
        assertEquals("a1", forwarded.get(HeaderNames.ATTEMPT_ID));
    }
}
