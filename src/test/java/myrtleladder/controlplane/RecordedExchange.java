package myrtleladder.controlplane;

import java.nio.charset.StandardCharsets;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;

/** A request to the control address that records its response. */
final class RecordedExchange extends FakeServerExchange {
    /** The status of the response: 0 if there is none yet, -1 if the connection was aborted. */
    int status;

    Headers headers;
    String body;

    private RecordedExchange(RequestHead head, byte[] body) {
        super(head, body);
    }

    private static byte[] withDoubleQuotes(String body) {
        return body.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    /** A request without {@code If-Match} whose body is sent as it is. */
    static RecordedExchange of(String method, String path, byte[] body) {
        return new RecordedExchange(new RequestHead(method, path, new Headers()), body);
    }

    /** A request without {@code If-Match}; single quotes in the body stand for double ones. */
    static RecordedExchange of(String method, String path, String body) {
        return of(method, path, withDoubleQuotes(body));
    }

    /** A request with {@code If-Match}. */
    static RecordedExchange matching(String ifMatch, String method, String path, String body) {
        Headers headers = new Headers().add("If-Match", ifMatch);
        return new RecordedExchange(new RequestHead(method, path, headers), withDoubleQuotes(body));
    }

    @Override
    public void respond(int code, Headers fields, byte[] bytes) {
        status = code;
        headers = fields;
        body = new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public void abort() {
        status = -1;
    }
}
