package myrtleladder.dataplane;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import myrtleladder.http.Headers;

/**
 * Selects the header fields that an intermediary forwards (RFC 9110, section 7.6.1). Stateless;
 * does not modify its arguments.
 */
final class HeaderForwarding {
    /**
     * Fields that apply to a single connection (RFC 9110, sections 7.6.1, 10.1.1 and 11.7), and
     * Content-Length, which is set again when the message is sent.
     */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "content-length",
                    "expect");

    /** Fields that only the balancer sets in requests to upstreams. */
    private static final Set<String> SET_BY_BALANCER =
            Set.of(
                    "authorization",
                    "myrtleladder-tenant",
                    "myrtleladder-expect-instance",
                    "priority",
                    "expect-version",
                    "myrtleladder-deadline-ms",
                    "last-event-id");

    private HeaderForwarding() {}

    /**
     * Returns the fields of a client's request to forward, without those that the balancer sets.
     */
    static Headers toUpstream(Headers clientHeaders) {
        Headers forwarded = withoutHopByHop(clientHeaders);
        SET_BY_BALANCER.forEach(forwarded::remove);
        return forwarded;
    }

    /** Returns the fields of an upstream's response to forward to the client. */
    static Headers toClient(Headers upstreamHeaders) {
        return withoutHopByHop(upstreamHeaders);
    }

    private static Headers withoutHopByHop(Headers source) {
        Headers forwarded = new Headers();
        Set<String> connectionOptions = connectionOptions(source.get("Connection"));
        source.forEach(
                (name, value) -> {
                    String lowerCase = name.toLowerCase(Locale.ROOT);
                    if (!HOP_BY_HOP.contains(lowerCase) && !connectionOptions.contains(lowerCase)) {
                        forwarded.add(name, value);
                    }
                });
        return forwarded;
    }

    /** Returns the fields that Connection lists, also hop-by-hop (RFC 9110, section 7.6.1). */
    private static Set<String> connectionOptions(String connection) {
        if (connection == null) {
            return Set.of();
        }
        return Set.of(
                Arrays.stream(connection.toLowerCase(Locale.ROOT).split(","))
                        .map(String::trim)
                        .distinct()
                        .toArray(String[]::new));
    }
}
