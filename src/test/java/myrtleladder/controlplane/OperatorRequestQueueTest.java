package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import myrtleladder.replication.StateChange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a request whose processing fails and that blocks the requests behind it. */
class OperatorRequestQueueTest {
    private static final int OK = 200;
    private static final long WAIT_MS = 50;

    private final ControlPlaneFixture node = new ControlPlaneFixture();
    private final OperatorRequestQueue queue = new OperatorRequestQueue(node.clock);

    @BeforeEach
    void start() {
        queue.attach(node.replica);
        queue.onPrimacyGained();
    }

    private static List<Throwable> failures() {
        return List.of(new IllegalStateException("a bug"), new StackOverflowError());
    }

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    private RecordedExchange add(OperatorRequestQueue.Processor processor) {
        RecordedExchange exchange = RecordedExchange.of("GET", "/config", "");
        queue.add(exchange, processor);
        return exchange;
    }

    private RecordedExchange addServed() {
        RecordedExchange exchange = RecordedExchange.of("GET", "/config", "");
        queue.add(
                exchange,
                () -> {
                    HttpResponses.sendEmpty(exchange, OK);
                    return Optional.empty();
                });
        return exchange;
    }

    private ProposedChange proposal(Runnable onCommitted) {
        return new ProposedChange(
                StateChange.ofDrainedZones(node.replica.snapshot(), List.of("z")), onCommitted);
    }

    @ParameterizedTest
    @MethodSource("failures")
    void theNextRequestIsServedAfterOneWhoseProcessingFails(Throwable failure) {
        RecordedExchange failed =
                add(
                        () -> {
                            fail(failure);
                            return Optional.empty();
                        });
        RecordedExchange next = addServed();
        node.clock.run(WAIT_MS);
        assertEquals(500, failed.status);
        assertEquals(OK, next.status);
    }

    @ParameterizedTest
    @MethodSource("failures")
    void theNextRequestIsServedAfterOneThatFailsOnceItsChangeIsCommitted(Throwable failure) {
        RecordedExchange failed = add(() -> Optional.of(proposal(() -> fail(failure))));
        RecordedExchange next = addServed();
        node.clock.run(WAIT_MS);
        assertEquals(500, failed.status);
        assertEquals(OK, next.status);
    }
}
