package myrtleladder.dataplane;

import java.io.ByteArrayOutputStream;
import myrtleladder.http.Headers;
import myrtleladder.http.ResponseHead;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.InstanceRecord;

/**
 * Assembles the response to the client from the responses of one or more upstreams. Each event is
 * forwarded once it is complete, and at most once; other bodies are buffered. The client receives
 * the head that was accepted first; a resumed stream only adds events. Confined to the event loop.
 * Only its {@link ProxiedRequest} calls it, and ensures that there is one final response.
 */
final class ResponseAssembler {
    private static final byte[] NO_BYTES = {};

    /** Maximum size of a buffered body. */
    private static final int MAX_BUFFERED_BYTES = 4 * 1_024 * 1_024;

    /** The growing buffer and the array that is sent. */
    private static final int COPIES_OF_BUFFERED_BODY = 2;

    private final ServerExchange client;
    private ResponseHead head;
    private long weightsVersion = InstanceRecord.UNKNOWN_WEIGHTS_VERSION;
    private ServerSentEventSplitter splitter;
    private ByteArrayOutputStream buffer;
    private ResponseHead savedFailureHead;
    private byte[] savedFailureBody;
    private long lastEventId;
    private boolean hasForwardedEvent;

    /**
     * Creates an assembler.
     *
     * @param lastEventId identifier of the last event that the client received in an earlier
     *     request, or {@link ServerSentEventSplitter#NO_ID}
     */
    ResponseAssembler(ServerExchange client, long lastEventId) {
        this.client = client;
        this.lastEventId = lastEventId;
    }

    /** Discards incomplete events and buffered bodies of the attempt before. */
    void startAttempt() {
        splitter = new ServerSentEventSplitter();
        if (buffer != null) {
            buffer.reset();
        }
    }

    /** Sets the head of the response to the client. */
    void acceptHead(ResponseHead accepted) {
        head = accepted;
        weightsVersion =
                accepted.headers()
                        .number(HeaderNames.VERSIONS, InstanceRecord.UNKNOWN_WEIGHTS_VERSION);
    }

    int status() {
        return head.status();
    }

    /**
     * Returns the version of the model weights that generated the response, or {@link
     * InstanceRecord#UNKNOWN_WEIGHTS_VERSION} if the upstream did not report it.
     */
    long weightsVersion() {
        return weightsVersion;
    }

    /**
     * Returns the identifier of the last event that the client has, or {@link
     * ServerSentEventSplitter#NO_ID}.
     */
    long lastEventId() {
        return lastEventId;
    }

    boolean hasForwardedEvent() {
        return hasForwardedEvent;
    }

    /** Splits bytes of a stream into events and passes each complete event to the listener. */
    void splitEvents(byte[] bytes, ServerSentEventSplitter.Listener listener) {
        splitter.feed(bytes, listener);
    }

    /** Returns whether an event was already forwarded from an earlier attempt. */
    boolean isDuplicate(long eventId) {
        return eventId != ServerSentEventSplitter.NO_ID
                && hasForwardedEvent
                && eventId <= lastEventId;
    }

    /** Begins a streamed response with the accepted head. */
    void beginStream() {
        client.begin(head.status(), HeaderForwarding.toClient(head.headers()));
    }

    /** Forwards an event, including the empty line that ends it. */
    void forwardEvent(byte[] event, long eventId) {
        hasForwardedEvent = true;
        if (eventId != ServerSentEventSplitter.NO_ID) {
            lastEventId = eventId;
        }
        client.write(event, 0, event.length);
    }

    /** Forwards the bytes after the last event of a stream that ended normally. */
    void forwardRemainder() {
        byte[] remainder = splitter.remainder();
        client.write(remainder, 0, remainder.length);
    }

    void endStream() {
        client.end();
    }

    /** Closes the connection, so that the client detects that the stream is incomplete. */
    void abortStream() {
        client.abort();
    }

    /**
     * Buffers a part of a body; returns false if the body exceeds the size limit or there is no
     * memory for it.
     */
    boolean bufferBody(byte[] bytes) {
        if (!client.reserveMemory((long) COPIES_OF_BUFFERED_BODY * bytes.length)) {
            return false;
        }
        if (buffer == null) {
            buffer = new ByteArrayOutputStream(Math.max(32, bytes.length));
        }
        buffer.writeBytes(bytes);
        return buffer.size() <= MAX_BUFFERED_BYTES;
    }

    /** Returns the body of an event stream that ended without a complete event. */
    byte[] bodyWithoutEvents() {
        return splitter.remainder();
    }

    byte[] bufferedBody() {
        return buffer == null ? NO_BYTES : buffer.toByteArray();
    }

    /**
     * Saves the error response of an upstream while other upstreams are tried; replaces an earlier
     * one.
     */
    void saveFailure() {
        savedFailureHead = head;
        savedFailureBody = bufferedBody();
    }

    boolean hasSavedFailure() {
        return savedFailureHead != null;
    }

    /** Sends the saved error response unchanged. */
    void respondWithSavedFailure() {
        client.respond(
                savedFailureHead.status(),
                HeaderForwarding.toClient(savedFailureHead.headers()),
                savedFailureBody);
    }

    /** Sends the accepted head with a complete body. */
    void respond(byte[] body) {
        client.respond(head.status(), HeaderForwarding.toClient(head.headers()), body);
    }

    /** Sends a response generated by the balancer, with an empty body. */
    void respond(int status, Headers headers) {
        client.respond(status, headers, NO_BYTES);
    }
}
