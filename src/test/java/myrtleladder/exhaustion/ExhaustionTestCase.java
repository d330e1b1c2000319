package myrtleladder.exhaustion;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** What the tests of all ports share: the processes, and how long a crowd sends. */
abstract class ExhaustionTestCase {
    /** How long a crowd sends before the ordinary request. */
    private static final long CROWD_MS = 4_000;

    @TempDir static Path folder;

    private static ExhaustionFleet fleet;

    @BeforeAll
    static void createFleet() throws IOException {
        fleet = new ExhaustionFleet(folder);
    }

    @AfterAll
    static void closeFleet() {
        fleet.close();
    }

    @BeforeEach
    void startProcesses() throws IOException, InterruptedException {
        fleet.ensureRunning();
    }

    /** Lets a crowd send, beside which and after which the system must serve. */
    static void assertServesBeside(InetSocketAddress target, Payload payload, int connections)
            throws IOException, InterruptedException {
        try (ClientCrowd crowd = ClientCrowd.start(target, payload, connections)) {
            assertServesBeside(crowd);
        }
        fleet.awaitAnswerToLargestRequest();
        fleet.assertWithinLimits();
    }

    /** Like {@link #assertServesBeside}, with clients that never read. */
    static void assertServesBesideUnread(InetSocketAddress target, Payload payload, int connections)
            throws IOException, InterruptedException {
        try (ClientCrowd crowd = ClientCrowd.startUnread(target, payload, connections)) {
            assertServesBeside(crowd);
        }
        fleet.awaitAnswerToLargestRequest();
        fleet.assertWithinLimits();
    }

    private static void assertServesBeside(ClientCrowd crowd)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(CROWD_MS);
        fleet.assertWithinLimits();
        crowd.stopReconnecting();
        fleet.awaitOrdinaryAnswer();
        fleet.awaitControlAnswer();
        fleet.awaitReadiness();
        fleet.assertWithinLimits();
    }
}
