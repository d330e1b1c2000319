package myrtleladder.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;

/** A complete request and its response on a connection of Grizzly. Confined to the event loop. */
final class HttpExchange implements ServerExchange {
    private static final byte[] NO_BYTES = {};
    private static final int INTERNAL_SERVER_ERROR = 500;

    private enum State {
        UNANSWERED,
        STREAMING,
        ENDED
    }

    private final ServerConnection owner;
    private final HttpRequestPacket request;
    private final RequestHead head;
    private final byte[] body;
    private final int refusedStatus;
    private final boolean keepAlive;
    private long heldBytes;
    private State state = State.UNANSWERED;
    private HttpResponsePacket response;
    private Runnable onGone;

    /**
     * Creates an exchange for a request.
     *
     * @param refusedStatus the status with which the connection answers instead of the handler, 0
     *     if the handler does
     */
    HttpExchange(
            ServerConnection owner, HttpRequestPacket request, byte[] body, int refusedStatus) {
        this.owner = owner;
        this.request = request;
        this.body = body;
        this.refusedStatus = refusedStatus;
        String query = request.getQueryString();
        String path = request.getRequestURI();
        Headers headers = Headers.copyOf(request.getHeaders());
        this.head =
                new RequestHead(
                        request.getMethod().getMethodString(),
                        query == null || query.isEmpty() ? path : path + "?" + query,
                        headers);
        String connection = headers.get("Connection");
        // Grizzly takes what follows a request with Upgrade for a part of that request
        boolean closeRequested = connection != null && connection.equalsIgnoreCase("close");
        this.keepAlive = !closeRequested && !request.isUpgrade();
    }

    int refusedStatus() {
        return refusedStatus;
    }

    /** Returns an exchange for the same request, without its body, that is refused. */
    HttpExchange refusedWith(int status) {
        return new HttpExchange(owner, request, NO_BYTES, status);
    }

    /** Returns the memory reserved for the request and the response. */
    long heldBytes() {
        return heldBytes;
    }

    void setHeldBytes(long bytes) {
        heldBytes = bytes;
    }

    /**
     * Returns whether the request line is HTTP/1.0 or 1.1 with a method of letters and origin form.
     */
    boolean isWellFormed() {
        Protocol protocol = request.getProtocol();
        boolean version = protocol == Protocol.HTTP_1_1 || protocol == Protocol.HTTP_1_0;
        boolean method = head.method().chars().allMatch(c -> c >= 'A' && c <= 'Z');
        return version && method && head.target().startsWith("/");
    }

    @Override
    public RequestHead head() {
        return head;
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public String caller() {
        return String.valueOf(owner.connection().getPeerAddress());
    }

    @Override
    public boolean reserveMemory(long bytes) {
        return owner.reserveFor(this, bytes);
    }

    @Override
    public void respond(int status, Headers headers, byte[] answer) {
        if (state != State.UNANSWERED) {
            return;
        }
        boolean keep = canKeepAlive() && headers.get("Connection") == null;
        headers.remove("Connection");
        response = build(status, headers, keep);
        if (response == null) {
            abort();
            return;
        }
        response.setContentLength(answer.length);
        transitionTo(State.ENDED);
        if (answer.length > HttpConnection.MAX_COMBINED_BODY_BYTES) {
            owner.write(response, false);
        }
        owner.write(
                HttpContent.builder(response)
                        .content(wrap(answer, 0, answer.length))
                        .last(true)
                        .build(),
                !keep);
        owner.answered(this, keep);
    }

    @Override
    public void begin(int status, Headers headers) {
        if (state != State.UNANSWERED) {
            return;
        }
        response = build(status, headers, canKeepAlive());
        if (response == null) {
            abort();
            return;
        }
        response.setChunked(true);
        transitionTo(State.STREAMING);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
        if (state == State.STREAMING && length > 0) {
            owner.write(
                    HttpContent.builder(response).content(wrap(bytes, offset, length)).build(),
                    false);
        }
    }

    @Override
    public void end() {
        if (state != State.STREAMING) {
            return;
        }
        transitionTo(State.ENDED);
        boolean keep = !"close".equalsIgnoreCase(response.getHeader("Connection")) && !mustClose();
        owner.write(
                HttpContent.builder(response).content(wrap(NO_BYTES, 0, 0)).last(true).build(),
                !keep);
        owner.answered(this, keep);
    }

    @Override
    public void abort() {
        if (state != State.ENDED) {
            transitionTo(State.ENDED);
            owner.connection().terminateSilently();
            owner.answered(this, false);
        }
    }

    /** Answers 500, or aborts a response that has begun. */
    void fail() {
        if (state == State.UNANSWERED) {
            respond(INTERNAL_SERVER_ERROR, new Headers(), NO_BYTES);
        } else {
            abort();
        }
    }

    @Override
    public boolean open() {
        return owner.connection().isOpen();
    }

    @Override
    public void onGone(Runnable task) {
        onGone = task;
    }

    void gone() {
        if (state != State.ENDED) {
            transitionTo(State.ENDED);
            if (onGone != null) {
                onGone.run();
            }
        }
    }

    private void transitionTo(State next) {
        state = next;
    }

    /**
     * Returns whether the connection closes although the head, sent before, did not announce it.
     */
    private boolean mustClose() {
        return isLastOfConnection() || (owner.server().isClosing() && !owner.hasPipelined());
    }

    private boolean canKeepAlive() {
        return keepAlive && !owner.server().isClosing() && !isLastOfConnection();
    }

    private boolean isLastOfConnection() {
        return owner.isInputClosed() && !owner.hasPipelined();
    }

    /** Builds a head; null if the library refuses it, as with too many fields. */
    private HttpResponsePacket build(int status, Headers headers, boolean keep) {
        HttpResponsePacket built =
                HttpResponsePacket.builder(request)
                        .status(status)
                        .reasonPhrase(HttpStatus.getHttpStatus(status).getReasonPhrase())
                        .build();
        built.getHeaders().setMaxNumHeaders(HttpServer.MAX_RESPONSE_HEADERS);
        try {
            headers.forEach((name, value) -> addField(built, name, value));
        } catch (RuntimeException e) {
            owner.server().reportDefect("failed to build the head of a response", e);
            return null;
        }
        if (!keep) {
            built.setHeader("Connection", "close");
        } else if (owner.server().keepAlive() != null) {
            built.setHeader("Keep-Alive", owner.server().keepAlive());
        }
        return built;
    }

    private static void addField(HttpResponsePacket packet, String name, String value) {
        if (name.equalsIgnoreCase("Content-Type")) {
            packet.setContentType(value);
        } else {
            packet.addHeader(name, value);
        }
    }

    private static Buffer wrap(byte[] bytes, int offset, int length) {
        return length == 0 ? Buffers.EMPTY_BUFFER : Buffers.wrap(null, bytes, offset, length);
    }
}
