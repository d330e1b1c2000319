package myrtleladder.dataplane;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import myrtleladder.http.Headers;

/**
 * Selects the header fields that an intermediary forwards (RFC 9110, section 7.6.1). Stateless;
 * never changes the fields that it is given.
 */
final class HeaderForwarding {
    /**
     * Fields of a single connection (RFC 9110, sections 7.6.1, 10.1.1 and 11.7), and the length,
     * which the sending side sets anew.
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

    /** Fields that the balancer alone may set for an upstream. */
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

    /** The fields of a client's request that an upstream receives, without the balancer's own. */
    static Headers toUpstream(Headers clientHeaders) {
        Headers forwarded = withoutHopByHop(clientHeaders);
        SET_BY_BALANCER.forEach(forwarded::remove);
        return forwarded;
    }

    /** The fields of an upstream's response that the client receives. */
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

    /** Fields that the Connection field lists are hop-by-hop too (RFC 9110, section 7.6.1). */
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
