package myrtleladder.dataplane;

import java.io.ByteArrayOutputStream;
import myrtleladder.http.Headers;
import myrtleladder.http.ResponseHead;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.InstanceRecord;

/**
 * Assembles one response to the client out of the responses of one or more upstreams: events are
 * forwarded when they are complete and at most once, other bodies are buffered. The first accepted
 * head is the client's; a resumed stream adds events only. Confined to the event loop; its {@link
 * ProxiedRequest} alone calls it, and makes sure that there is one final response.
 */
final class ResponseAssembler {
    private static final byte[] NO_BYTES = {};

    /** Longest body that is buffered. */
    private static final int MAX_BUFFERED_BYTES = 4 * 1_024 * 1_024;

    private final ServerExchange client;
    private ResponseHead head;
    private long weightsVersion = InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
    private ServerSentEventSplitter splitter;
    private ByteArrayOutputStream buffer;
    private ResponseHead keptFailureHead;
    private byte[] keptFailureBody;
    private long lastEventId;
    private boolean hasForwardedEvent;

    /** Starts with the identifier of the last event that the client has from before, if any. */
    ResponseAssembler(ServerExchange client, long lastEventId) {
        this.client = client;
        this.lastEventId = lastEventId;
    }

    /** Drops what came of an incomplete event or a buffered body before another attempt. */
    void startAttempt() {
        splitter = new ServerSentEventSplitter();
        if (buffer != null) {
            buffer.reset();
        }
    }

    /** Takes the head that the client is to receive. */
    void acceptHead(ResponseHead accepted) {
        head = accepted;
        weightsVersion =
                accepted.headers()
                        .number(HeaderNames.VERSIONS, InstanceRecord.UNKNOWN_WEIGHTS_VERSION);
    }

    int status() {
        return head.status();
    }

    /** Version of the model weights that made the response, if its upstream reported it. */
    long weightsVersion() {
        return weightsVersion;
    }

    /** Identifier of the last forwarded event, or {@link ServerSentEventSplitter#NO_ID}. */
    long lastEventId() {
        return lastEventId;
    }

    boolean hasForwardedEvent() {
        return hasForwardedEvent;
    }

    /** Cuts bytes of a stream into events. */
    void splitEvents(byte[] bytes, ServerSentEventSplitter.Listener listener) {
        splitter.feed(bytes, listener);
    }

    /** Whether the client has an event already, from the upstream before. */
    boolean isDuplicate(long eventId) {
        return eventId != ServerSentEventSplitter.NO_ID
                && hasForwardedEvent
                && eventId <= lastEventId;
    }

    /** Begins the client's response with the accepted head. */
    void beginStream() {
        client.begin(head.status(), HeaderForwarding.toClient(head.headers()));
    }

    /** Forwards an event with its empty line. */
    void forwardEvent(byte[] event, long eventId) {
        hasForwardedEvent = true;
        if (eventId != ServerSentEventSplitter.NO_ID) {
            lastEventId = eventId;
        }
        client.write(event, 0, event.length);
    }

    /** Forwards what follows the last event of a complete stream. */
    void forwardRemainder() {
        byte[] remainder = splitter.remainder();
        client.write(remainder, 0, remainder.length);
    }

    void endStream() {
        client.end();
    }

    /** Breaks the connection off, so that the client can't take the stream for complete. */
    void abortStream() {
        client.abort();
    }

    /** Buffers a part of a body; false if it became too long. */
    boolean bufferBody(byte[] bytes) {
        if (buffer == null) {
            buffer = new ByteArrayOutputStream(Math.max(32, bytes.length));
        }
        buffer.writeBytes(bytes);
        return buffer.size() <= MAX_BUFFERED_BYTES;
    }

    /** The body of a stream without any event. */
    byte[] eventlessBody() {
        return splitter.remainder();
    }

    byte[] bufferedBody() {
        return buffer == null ? NO_BYTES : buffer.toByteArray();
    }

    /** Keeps a complete failure of an upstream while others are tried; the latest is kept. */
    void keepFailure() {
        keptFailureHead = head;
        keptFailureBody = bufferedBody();
    }

    boolean hasKeptFailure() {
        return keptFailureHead != null;
    }

    /** Sends the failure that was kept, unchanged. */
    void respondKeptFailure() {
        client.respond(
                keptFailureHead.status(),
                HeaderForwarding.toClient(keptFailureHead.headers()),
                keptFailureBody);
    }

    /** Sends the accepted head with a complete body. */
    void respond(byte[] body) {
        client.respond(head.status(), HeaderForwarding.toClient(head.headers()), body);
    }

    /** Sends a response of the balancer's own. */
    void respond(int status, Headers headers) {
        client.respond(status, headers, NO_BYTES);
    }
}
