package myrtleladder.http;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * A client's connection: the request that is being read, the one that is being answered, and the
 * pipelined ones behind it, which are answered in order (RFC 9112, section 9.3.2). A pipelined
 * request begins when the socket has taken the answers before it, so that a client that does not
 * read can't pile up answers.
 *
 * <p>A request that is refused before it was read is answered in its turn; what the client sends
 * behind it is discarded, and the connection closes a while after the answer, so that the client
 * can read it.
 *
 * <p>Invariant: {@link #heldBytes} is the sum of what the parts below have reserved, and none once
 * the connection is closed.
 *
 * <p>Threading: confined to the event loop.
 */
final class ServerConnection {
    private static final int REQUEST_HEADER_FIELDS_TOO_LARGE = 431;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_REQUEST = 400;

    /** When a client that is refused for lack of memory may try again. */
    private static final String RETRY_AFTER_SECONDS = "0.500";

    /** Pipelined requests that wait for answers before them; with more the input is closed. */
    private static final int MAX_PIPELINED = 16;

    /** How long the client may read the last answer while its further input is discarded. */
    private static final long LINGER_MS = 1_000;

    /** Memory of a parsed head in proportion to its size: the bytes, and the fields as texts. */
    private static final int HEAD_MEMORY_FACTOR = 3;

    /** Value of {@link #receivingSinceMs} while no request is incomplete. */
    private static final long NOT_RECEIVING = Long.MAX_VALUE;

    /** Value of {@link #lingeringSinceMs} before the last answer was written. */
    private static final long NOT_LINGERING = Long.MAX_VALUE;

    private final HttpServer server;
    private final ServerResources resources;
    private final Connection<?> connection;
    private final OutputBacklog output;
    private final ArrayDeque<HttpExchange> pipelined = new ArrayDeque<>();
    private HttpRequestPacket reading;
    private RequestBody body = new RequestBody();
    private HttpExchange current;
    private boolean isInputClosed;
    private boolean isClosed;
    private boolean hasServed;
    private long idleSinceMs;
    private long receivingSinceMs = NOT_RECEIVING;
    private long lingeringSinceMs = NOT_LINGERING;
    private long outputChangedAtMs;

    /** Sum of the reservations below and of those of all exchanges. */
    private long heldBytes;

    /** Bytes that arrived since the parser last delivered anything; it may hold all of them. */
    private long unparsedBytes;

    /** Reservation for the head of the request that is being read. */
    private long headBytes;

    /** Memory of responses that the client's side has not taken yet. */
    private long outputBytes;

    ServerConnection(HttpServer server, Connection<?> connection) {
        this.server = server;
        this.resources = server.resources();
        this.connection = connection;
        this.output = new OutputBacklog(connection);
        this.idleSinceMs = server.now();
    }

    /**
     * Called for bytes that arrived, before they are parsed.
     *
     * @return whether they are to be parsed; if not, they are discarded
     */
    boolean onBytesArrived(int count) {
        if (isInputClosed || isClosed) {
            return false;
        }
        startReceiving();
        if (unparsedBytes > server.limits().maxHeaderBytes()) {
            count(Refusal.HEAD_TOO_LARGE);
            closeInputAndThenConnection();
            return false;
        }
        if (!reserve(count)) {
            giveWay();
            return false;
        }
        unparsedBytes += count;
        return true;
    }

    /** Starts the time limit of a request, also of one whose bytes came with the one before. */
    private void startReceiving() {
        if (receivingSinceMs == NOT_RECEIVING) {
            receivingSinceMs = server.now();
        }
    }

    /** Called when the head of a request has been parsed, before its body. */
    void onHeadParsed(HttpRequestPacket request) {
        if (isInputClosed || isClosed || reading != null) {
            return;
        }
        reading = request;
        startReceiving();
        long size = sizeOf(request);
        if (size > server.limits().maxHeaderBytes()) {
            refuse(Refusal.HEAD_TOO_LARGE, REQUEST_HEADER_FIELDS_TOO_LARGE);
        } else if (request.getContentLength() > server.limits().maxBodyBytes()) {
            refuse(Refusal.BODY_TOO_LARGE, CONTENT_TOO_LARGE);
        } else if (reserve(size * HEAD_MEMORY_FACTOR)) {
            headBytes = size * HEAD_MEMORY_FACTOR;
        } else {
            giveWay();
        }
    }

    private static long sizeOf(HttpRequestPacket request) {
        long size = request.getMethod().getMethodString().length();
        size += request.getRequestURIRef().getOriginalRequestURIBC().getLength();
        size += request.getQueryStringDC().getLength();
        MimeHeaders fields = request.getHeaders();
        for (int i = 0; i < fields.size(); i++) {
            size += fields.getName(i).getLength() + fields.getValue(i).getLength() + 4L;
        }
        return size;
    }

    /** Called for each part of a request, the last one included. */
    void received(HttpRequestPacket request, HttpContent content) {
        release(unparsedBytes);
        unparsedBytes = 0;
        if (reading == null) {
            onHeadParsed(request);
        }
        Buffer buffer = content.getContent();
        if (!isInputClosed && buffer != null && buffer.hasRemaining()) {
            append(buffer);
        }
        if (!isInputClosed && !isClosed && (content.isLast() || isUpgradeComplete())) {
            complete();
        }
    }

    /** Grizzly does not report the end of a request with Upgrade, so its length is compared. */
    private boolean isUpgradeComplete() {
        return reading.isUpgrade()
                && !reading.isChunked()
                && body.size() >= Math.max(0, reading.getContentLength());
    }

    private void append(Buffer buffer) {
        long maxSize = server.limits().maxBodyBytes();
        if (body.size() + (long) buffer.remaining() > maxSize) {
            refuse(Refusal.BODY_TOO_LARGE, CONTENT_TOO_LARGE);
            return;
        }
        long announced = reading.getContentLength() < 0 ? maxSize : reading.getContentLength();
        int capacity = body.capacityToAppend(buffer.remaining(), announced);
        if (!reserve(capacity - body.capacity())) {
            giveWay();
            return;
        }
        body.append(buffer, capacity);
    }

    private void complete() {
        HttpExchange exchange = new HttpExchange(this, reading, body.toByteArray(), 0);
        long exchangeBytes = headBytes + body.size();
        release(body.capacity() - body.size());
        exchange.setHeldBytes(exchangeBytes);
        headBytes = 0;
        body = new RequestBody();
        boolean isUpgrade = reading.isUpgrade();
        reading = null;
        receivingSinceMs = NOT_RECEIVING;
        if (isUpgrade) {
            closeInput();
        }
        enqueue(exchange);
    }

    private void enqueue(HttpExchange exchange) {
        pipelined.add(exchange);
        beginNext();
        if (pipelined.size() > MAX_PIPELINED) {
            count(Refusal.TOO_MANY_PIPELINED);
            release(pipelined.removeLast().heldBytes());
            closeInput();
        }
    }

    /** Begins the next request if the ones before it are answered and their answers taken. */
    private void beginNext() {
        if (current == null && !isClosed && output.isEmpty() && !pipelined.isEmpty()) {
            begin(pipelined.poll());
        }
    }

    private void begin(HttpExchange exchange) {
        current = exchange;
        if (!exchange.isWellFormed()) {
            exchange.respond(BAD_REQUEST, closing(), RequestBody.NO_BYTES);
            return;
        }
        if (exchange.refusedStatus() != 0) {
            Headers headers = closing();
            if (exchange.refusedStatus() == SERVICE_UNAVAILABLE) {
                headers.add("Retry-After", RETRY_AFTER_SECONDS);
            }
            exchange.respond(exchange.refusedStatus(), headers, RequestBody.NO_BYTES);
            return;
        }
        handle(exchange);
    }

    private static Headers closing() {
        return new Headers().add("Connection", "close");
    }

    /** Calls the handler; if it throws an exception, the client is answered all the same. */
    private void handle(HttpExchange exchange) {
        try {
            server.handle(exchange);
        } catch (RuntimeException | Error e) {
            String request = exchange.head().method() + " " + exchange.head().path();
            server.reportDefect("failed to handle " + request, e);
            exchange.fail();
        }
    }

    /** Refuses the request that is being read, in its turn. */
    private void refuse(Refusal reason, int status) {
        count(reason);
        HttpExchange refused = new HttpExchange(this, reading, RequestBody.NO_BYTES, status);
        closeInput();
        enqueue(refused);
    }

    /** Discards what is being read and all that follows; earlier requests are still answered. */
    private void closeInput() {
        isInputClosed = true;
        release(headBytes + body.capacity());
        headBytes = 0;
        body = new RequestBody();
        reading = null;
        receivingSinceMs = NOT_RECEIVING;
    }

    private void closeInputAndThenConnection() {
        closeInput();
        if (!hasUnanswered()) {
            terminate();
        }
    }

    /** Refuses what is being read because there is no memory for it. */
    private void giveWay() {
        if (isInputClosed || isClosed) {
            return;
        }
        if (reading != null) {
            refuse(Refusal.OUT_OF_MEMORY, SERVICE_UNAVAILABLE);
        } else {
            count(Refusal.OUT_OF_MEMORY);
            closeInputAndThenConnection();
        }
    }

    /** Frees {@link #sheddableBytes}, because the memory of all connections is used up. */
    void shed() {
        if (outputBytes >= sheddableInputBytes()) {
            closeUnread(Refusal.ANSWER_SHED);
            return;
        }
        HttpExchange firstWaiting = pipelined.peek();
        for (HttpExchange waiting : pipelined) {
            release(waiting.heldBytes());
        }
        pipelined.clear();
        if (firstWaiting == null) {
            giveWay();
            release(unparsedBytes);
            unparsedBytes = 0;
            return;
        }
        count(Refusal.OUT_OF_MEMORY);
        closeInput();
        enqueue(firstWaiting.refusedWith(SERVICE_UNAVAILABLE));
    }

    /** Returns how many bytes {@link #shed} would free. */
    long sheddableBytes() {
        return isClosed ? 0 : Math.max(outputBytes, sheddableInputBytes());
    }

    private long sheddableInputBytes() {
        if (isInputClosed) {
            return 0;
        }
        long waiting = 0;
        for (HttpExchange exchange : pipelined) {
            waiting += exchange.heldBytes();
        }
        return waiting + unparsedBytes + headBytes + body.capacity();
    }

    /** Returns for how long the client has not finished its request or has not read its answer. */
    long unfinishedMs(long nowMs) {
        long receivingMs = receivingSinceMs == NOT_RECEIVING ? 0 : nowMs - receivingSinceMs;
        long unreadMs = outputBytes == 0 ? 0 : nowMs - outputChangedAtMs;
        return Math.max(receivingMs, unreadMs);
    }

    /** Reserves memory for an exchange beyond its request; false if there is none. */
    boolean reserveFor(HttpExchange exchange, long bytes) {
        if (isClosed || !reserve(bytes)) {
            return false;
        }
        exchange.setHeldBytes(exchange.heldBytes() + bytes);
        return true;
    }

    private boolean reserve(long bytes) {
        if (!resources.reserve(this, bytes) || isClosed) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    private void release(long bytes) {
        if (!isClosed) {
            heldBytes -= bytes;
            resources.release(bytes);
        }
    }

    private void count(Refusal reason) {
        resources.count(server.port(), reason);
    }

    private void closeUnread(Refusal reason) {
        String client = String.valueOf(connection.getPeerAddress());
        resources.countClosed(
                new UnreadAnswer(
                        client,
                        server.port(),
                        reason,
                        output.waitingBytes(),
                        outputBytes,
                        server.now() - outputChangedAtMs));
        terminate();
    }

    /** Compares the memory of what waits to be written with what is counted. */
    void updateOutput(long nowMs) {
        if (isClosed) {
            return;
        }
        long waiting = output.heldBytes();
        if (waiting != outputBytes) {
            outputChangedAtMs = nowMs;
            heldBytes += waiting - outputBytes;
            resources.charge(waiting - outputBytes);
            outputBytes = waiting;
        }
    }

    /** Writes a part of a response; {@code isLast} closes the connection behind it. */
    void write(HttpPacket packet, boolean isLast) {
        output.write(packet, isLast ? this::onLastAnswerWritten : this::onWritten);
        updateOutput(server.now());
    }

    /** Goes on later, since the library is within its own write here. */
    private void onWritten() {
        if (!pipelined.isEmpty()) {
            server.execute(this::beginNext);
        }
    }

    void answered(HttpExchange exchange, boolean keep) {
        if (exchange != current) {
            return;
        }
        current = null;
        release(exchange.heldBytes());
        idleSinceMs = server.now();
        hasServed |= exchange.refusedStatus() == 0;
        if (!keep) {
            return;
        }
        beginNext();
    }

    private void onLastAnswerWritten() {
        if (!isInputClosed) {
            connection.closeSilently();
            return;
        }
        lingeringSinceMs = server.now();
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException e) {
            terminate();
        }
    }

    void closed() {
        if (isClosed) {
            return;
        }
        release(heldBytes);
        isClosed = true;
        server.forget(this);
        resources.disconnected(this);
        pipelined.clear();
        body = new RequestBody();
        HttpExchange ended = current;
        current = null;
        if (ended != null) {
            ended.gone();
        }
    }

    /** Closes the connection if a time limit was exceeded. */
    void closeIfExpired(long nowMs, long maxIdleMs, long maxReceiveMs) {
        updateOutput(nowMs);
        boolean isUnread = outputBytes > 0 && nowMs - outputChangedAtMs > maxIdleMs;
        if (isUnread) {
            closeUnread(Refusal.ANSWER_NOT_READ);
        } else if (lingeringSinceMs != NOT_LINGERING) {
            if (nowMs - lingeringSinceMs > LINGER_MS) {
                terminate();
            }
        } else if (nowMs - receivingSinceMs > maxReceiveMs) {
            count(Refusal.REQUEST_TOO_SLOW);
            closeInputAndThenConnection();
        } else if (nowMs - idleSinceMs() > maxIdleMs && outputBytes == 0) {
            closeIfIdle();
        }
    }

    /** Returns whether this connection rather than another is closed when there are too many. */
    boolean isWorthLessThan(ServerConnection other) {
        if (hasServed != other.hasServed) {
            return !hasServed;
        }
        return idleSinceMs < other.idleSinceMs;
    }

    /** Returns whether a request is being answered; one that waits behind others is not. */
    boolean isAnswerDue() {
        return current != null;
    }

    private boolean hasUnanswered() {
        return current != null || hasPipelined();
    }

    /** Returns whether a pipelined request waits behind the current one. */
    boolean hasPipelined() {
        return !pipelined.isEmpty();
    }

    /** Returns whether the connection closes after the answers that are due. */
    boolean isInputClosed() {
        return isInputClosed;
    }

    boolean isIdle() {
        return !hasUnanswered() && receivingSinceMs == NOT_RECEIVING;
    }

    long idleSinceMs() {
        return isIdle() ? idleSinceMs : server.now();
    }

    void closeIfIdle() {
        if (isIdle()) {
            connection.closeSilently();
        }
    }

    void terminate() {
        connection.terminateSilently();
        closed();
    }

    long heldBytes() {
        return heldBytes;
    }

    Connection<?> connection() {
        return connection;
    }

    HttpServer server() {
        return server;
    }
}
