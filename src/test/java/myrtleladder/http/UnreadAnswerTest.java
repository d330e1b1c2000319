package myrtleladder.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.nio.NIOConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What an answer holds while its client has not read it, over sockets with small buffers. */
@Timeout(60)
class UnreadAnswerTest extends HttpServerTestCase {
    private static final int SOCKET_BUFFER_BYTES = 16 * 1_024;
    private static final int MAX_BODY_BYTES = 8 * 1_024 * 1_024;
    private static final long HEAP_BYTES = 96L * 1_024 * 1_024;
    private static final int DESCRIPTORS = 4_096;
    private static final int SMALL_ANSWERS = 5_000;
    private static final int STREAM_PARTS = 2_000;
    private static final int PART_BYTES = 1_000;

    /** A part with the lines of its chunk: {@code 3e8}, and one behind the part. */
    private static final int CHUNK_BYTES = PART_BYTES + 7;

    private static final int LAST_CHUNK_BYTES = 5;
    private static final RequestLimits LIMITS =
            RequestLimits.DEFAULT.withMaxBodyBytes(MAX_BODY_BYTES);

    private final LinkedBlockingQueue<NIOConnection> accepted = new LinkedBlockingQueue<>();

    private void serveAnswersOf(int bytes) throws IOException {
        serveWithSmallSendBuffers(
                exchange -> exchange.respond(200, new Headers(), new byte[bytes]));
    }

    private void serveWithSmallSendBuffers(Consumer<ServerExchange> handler) throws IOException {
        loop.transport().getConnectionMonitoringConfig().addProbes(new SmallSendBuffers());
        serve(LIMITS, HEAP_BYTES, DESCRIPTORS, handler);
    }

    /** Makes the send buffer of each accepted connection small. */
    private final class SmallSendBuffers extends ConnectionProbe.Adapter {
        @Override
        @SuppressWarnings("rawtypes") // as in the library
        public void onAcceptEvent(Connection serverConnection, Connection connection) {
            NIOConnection opened = (NIOConnection) connection;
            try {
                ((SocketChannel) opened.getChannel())
                        .setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER_BYTES);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            accepted.add(opened);
        }
    }

    private Socket connectWithSmallWindow() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        socket.setSoTimeout(20_000);
        socket.connect(new InetSocketAddress(HOST, port));
        return socket;
    }

    private long waitingBytes() {
        return accepted.element().getAsyncWriteQueue().spaceInBytes();
    }

    @ParameterizedTest
    @ValueSource(ints = {500_000, 2_000_000, MAX_BODY_BYTES})
    void answerIsNotCutOffWhileItsClientReadsOverASmallWindow(int size) throws IOException {
        serveAnswersOf(size);
        try (Socket socket = connectWithSmallWindow()) {
            send(socket, "GET /config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            await(() -> !handled.isEmpty());
            String answer = readAll(socket);
            assertEquals(size, answer.length() - answer.indexOf("\r\n\r\n") - 4);
        }
        awaitNothingHeld();
        assertTrue(log.isEmpty(), log.toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {500_000, 2_000_000, MAX_BODY_BYTES})
    void unreadBytesOfALargeAnswerAreCountedOnce(int size) throws IOException {
        serveAnswersOf(size);
        try (Socket socket = connectWithSmallWindow()) {
            send(socket, get("/config"));
            await(() -> !handled.isEmpty() && waitingBytes() > size / 2);
            await(() -> resources.heldBytes() == waitingBytes() + OutputBacklog.BYTES_PER_ANSWER);
            readHead(socket);
            socket.getInputStream().readNBytes(size);
            await(() -> resources.heldBytes() == 0);
        }
        awaitNothingHeld();
    }

    @Test
    void requestBehindAnUnreadAnswerBeginsWhenThatIsRead() throws IOException {
        serveAnswersOf(MAX_BODY_BYTES);
        try (Socket socket = connectWithSmallWindow()) {
            send(socket, get("/first") + get("/second"));
            await(() -> waitingBytes() > MAX_BODY_BYTES / 2);
            assertEquals(1, handled.size());
            for (int i = 0; i < 2; i++) {
                readHead(socket);
                socket.getInputStream().readNBytes(MAX_BODY_BYTES);
            }
            assertEquals(2, handled.size());
            await(() -> resources.heldBytes() == 0);
        }
        awaitNothingHeld();
        assertTrue(log.isEmpty(), log.toString());
    }

    @Test
    void smallAnswersThatAreNotReadDoNotPileUp() throws IOException {
        serveAnswersOf(1);
        try (Socket socket = connectWithSmallWindow()) {
            send(socket, get("/small").repeat(SMALL_ANSWERS));
            await(() -> resources.refusals(Refusal.TOO_MANY_PIPELINED) == 1);
            await(() -> resources.heldBytes() < SMALL_ANSWERS);
            readAll(socket);
        }
        awaitNothingHeld();
    }

    @Test
    void smallAnswersThatAreReadAllArrive() throws IOException {
        serveAnswersOf(1);
        try (Socket socket = connect()) {
            send(socket, get("/small").repeat(SMALL_ANSWERS));
            for (int i = 0; i < SMALL_ANSWERS; i++) {
                readHead(socket);
                socket.getInputStream().readNBytes(1);
            }
            assertEquals(SMALL_ANSWERS, handled.size());
        }
        awaitNothingHeld();
    }

    @Test
    void eachUnreadPartOfAStreamIsCountedWithItsWrite() throws IOException {
        serveWithSmallSendBuffers(UnreadAnswerTest::answerWithStream);
        try (Socket socket = connectWithSmallWindow()) {
            send(socket, get("/stream"));
            await(() -> !handled.isEmpty());
            await(this::isEachPartCounted);
            assertTrue(readHead(socket).startsWith("HTTP/1.1 200 "));
            socket.getInputStream().readNBytes(STREAM_PARTS * CHUNK_BYTES + LAST_CHUNK_BYTES);
            await(() -> resources.heldBytes() == 0);
        }
        awaitNothingHeld();
    }

    private static void answerWithStream(ServerExchange exchange) {
        exchange.begin(200, new Headers());
        for (int i = 0; i < STREAM_PARTS; i++) {
            exchange.write(new byte[PART_BYTES], 0, PART_BYTES);
        }
        exchange.end();
    }

    private boolean isEachPartCounted() {
        long parts = (waitingBytes() - LAST_CHUNK_BYTES + CHUNK_BYTES - 1) / CHUNK_BYTES;
        long overhead = parts * OutputBacklog.BYTES_PER_PART + OutputBacklog.BYTES_PER_ANSWER;
        return parts > STREAM_PARTS / 2 && resources.heldBytes() == waitingBytes() + overhead;
    }

    @Test
    void answersToHeadLeaveNothingCounted() throws IOException {
        serveAnswersOf(MAX_BODY_BYTES);
        try (Socket socket = connectWithSmallWindow()) {
            for (int i = 0; i < 5; i++) {
                send(socket, "HEAD /config HTTP/1.1\r\nHost: h\r\n\r\n");
                readHead(socket);
            }
            send(socket, get("/config"));
            await(() -> waitingBytes() > MAX_BODY_BYTES / 2);
            await(() -> resources.heldBytes() == waitingBytes() + OutputBacklog.BYTES_PER_ANSWER);
        }
        awaitNothingHeld();
    }

    @Test
    void answerToHeadClosesTheConnectionWhenAsked() throws IOException {
        serveAnswersOf(MAX_BODY_BYTES);
        try (Socket socket = connectWithSmallWindow()) {
            send(socket, "HEAD /config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            String answer = readAll(socket);
            assertTrue(answer.endsWith("\r\n\r\n"), answer);
        }
        awaitNothingHeld();
    }

    @Test
    void clientThatIsClosedForMemoryIsNamedInTheLogWithItsBytes() throws IOException {
        serveAnswersOf(MAX_BODY_BYTES);
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 4; i++) {
                clients.add(connectWithSmallWindow());
                send(clients.get(i), get("/config"));
            }
            await(() -> resources.refusals(Refusal.ANSWER_SHED) == 1);
            String line = log.element();
            String reason = " at port " + port + " (ANSWER_SHED): ";
            assertTrue(line.matches("closed client .*:\\d+" + Pattern.quote(reason) + ".*"), line);
            assertTrue(line.matches(".* 8\\d{6} bytes .* wait and count as 8\\d{6}; .*"), line);
            await(() -> log.stream().anyMatch(text -> text.contains(port + "={ANSWER_SHED=1}")));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
        awaitNothingHeld();
    }
}
