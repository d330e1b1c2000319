package myrtleladder.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.protocol.JoinRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to addresses that other processes reported, on a real event loop. */
class PeerClientTest {
    private static final long TIMEOUT_MS = 5_000;

    private final EventLoop loop = new EventLoop();

    @BeforeEach
    void start() {
        loop.start();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "no-port", ":80", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:99999"})
    void callToAnAddressThatCannotBeParsedFailsAtOnce(String address) throws Exception {
        CompletableFuture<Optional<Message>> answer = new CompletableFuture<>();
        Message request = JoinRequest.of(Member.of("a:1", "a:2", "s"));
        loop.execute(
                () ->
                        new PeerClient(loop)
                                .call(
                                        address,
                                        request,
                                        TIMEOUT_MS,
                                        m -> answer.complete(Optional.ofNullable(m))));
        assertEquals(Optional.empty(), answer.get(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS));
    }

    /**
     * Guards against a call that can't be started and whose caller waits for its result forever.
     */
    @Test
    void callThatCannotBeStartedFailsAtOnce() throws Exception {
        PeerClient client =
                new PeerClient(
                        loop,
                        address -> {
                            throw new IllegalStateException("a bug");
                        });
        CompletableFuture<Optional<Message>> answer = new CompletableFuture<>();
        Message request = JoinRequest.of(Member.of("a:1", "a:2", "s"));
        loop.execute(
                () ->
                        client.call(
                                "127.0.0.1:1",
                                request,
                                TIMEOUT_MS,
                                m -> answer.complete(Optional.ofNullable(m))));
        assertEquals(Optional.empty(), answer.get(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS));
    }
}
