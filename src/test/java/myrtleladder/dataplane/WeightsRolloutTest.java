package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import org.junit.jupiter.api.Test;

/** Where new requests begin while the weights of a model are replaced, upstream by upstream. */
class WeightsRolloutTest {
    private static final long BOUND_MS = 3_000;
    private static final int UPSTREAMS = 4;

    private final DataPlaneContext context =
            new DataPlaneContext.Builder()
                    .withConfiguration(RoutesDocument.TEXT)
                    .withRecords(records())
                    .withVersionBoundMs(BOUND_MS)
                    .build();

    private static List<InstanceRecord> records() {
        List<InstanceRecord> records = new ArrayList<>();
        for (int i = 1; i <= UPSTREAMS; i++) {
            records.add(record(i, 1));
        }
        return records;
    }

    private static InstanceRecord record(int number, long weights) {
        return DataPlaneContext.record("m" + number, "m", Stage.READY).withWeightsVersion(weights);
    }

    private SentRequest send(int number, int promptTokens) {
        context.send(
                "/s/" + number,
                HeaderNames.PROMPT_PREFIX,
                "c" + number + ":" + promptTokens,
                HeaderNames.TOKEN_USAGE,
                promptTokens + ",10");
        return context.connections.lastSent();
    }

    private static void complete(SentRequest sent) {
        sent.respondHead(200);
        sent.sendEvent(1);
        sent.completeResponse();
    }

    private static long weightsAt(SentRequest sent) {
        return sent.upstream.record().weightsVersion;
    }

    @Test
    void requestsBeginOnTheNewestWeightsWhileItsUpstreamsHaveRoom() {
        context.update(record(1, 2), record(2, 2));
        for (int i = 0; i < 30; i++) {
            SentRequest sent = send(i, 100);
            assertEquals(2, weightsAt(sent));
            complete(sent);
        }
    }

    @Test
    void firstUpgradedUpstreamIsNotOverloaded() {
        context.update(record(1, 2));
        int onOlderWeights = 0;
        for (int i = 0; i < 20; i++) {
            onOlderWeights += weightsAt(send(i, 4_000)) == 1 ? 1 : 0;
        }
        assertTrue(onOlderWeights > 5, onOlderWeights + " of 20 began on older weights");
    }

    @Test
    void nothingBeginsOnOlderWeightsOnceTheBoundHasPassed() {
        context.update(record(1, 2));
        complete(send(0, 100));
        context.clock.run(BOUND_MS);
        for (int i = 1; i < 20; i++) {
            SentRequest sent = send(i, 4_000);
            assertEquals(2, weightsAt(sent));
            complete(sent);
        }
    }

    @Test
    void olderWeightsServeAfterTheBoundIfNoUpstreamWithTheNewestIsLeft() {
        context.update(record(1, 2));
        complete(send(0, 100));
        context.clock.run(BOUND_MS);
        context.update(DataPlaneContext.record("m1", "m", Stage.GONE));
        SentRequest sent = send(1, 100);
        assertEquals(1, weightsAt(sent));
        complete(sent);
    }

    @Test
    void retryOfARequestThatBeganNoStreamGoesToTheNewestWeights() {
        context.update(record(1, 2), record(2, 2));
        SentRequest first = send(0, 100);
        first.loseConnection();
        SentRequest second = context.connections.lastSent();
        assertNotEquals(first.upstream, second.upstream);
        assertEquals(2, weightsAt(second));
    }
}
