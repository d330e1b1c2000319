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

/** Upstreams of new requests while the model weights are replaced, upstream by upstream. */
class WeightsRolloutTest {
    private static final long GRACE_PERIOD_MS = 3_000;
    private static final int UPSTREAMS = 4;

    private final DataPlaneContext context =
            new DataPlaneContext.Builder()
                    .withConfiguration(RoutesDocument.TEXT)
                    .withRecords(records())
                    .withVersionBoundMs(GRACE_PERIOD_MS)
                    .build();

    private static List<InstanceRecord> records() {
        List<InstanceRecord> records = new ArrayList<>();
        for (int i = 1; i <= UPSTREAMS; i++) {
            records.add(record(i, 1));
        }
        return records;
    }

    private static InstanceRecord record(int number, long weightsVersion) {
        return DataPlaneContext.record("m" + number, "m", Stage.READY)
                .withWeightsVersion(weightsVersion);
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

    private static long weightsVersionOf(SentRequest sent) {
        return sent.upstream.record().weightsVersion;
    }

    @Test
    void requestsStartOnTheNewestWeightsIfItsUpstreamsAreNotLoaded() {
        context.update(record(1, 2), record(2, 2));
        for (int i = 0; i < 30; i++) {
            SentRequest sent = send(i, 100);
            assertEquals(2, weightsVersionOf(sent));
            complete(sent);
        }
    }

    @Test
    void firstUpgradedUpstreamIsNotOverloaded() {
        context.update(record(1, 2));
        int onOlderWeights = 0;
        for (int i = 0; i < 20; i++) {
            onOlderWeights += weightsVersionOf(send(i, 4_000)) == 1 ? 1 : 0;
        }
        assertTrue(onOlderWeights > 5, onOlderWeights + " of 20 started on older weights");
    }

    @Test
    void noRequestStartsOnOlderWeightsAfterTheGracePeriod() {
        context.update(record(1, 2));
        complete(send(0, 100));
        context.clock.run(GRACE_PERIOD_MS);
        for (int i = 1; i < 20; i++) {
            SentRequest sent = send(i, 4_000);
            assertEquals(2, weightsVersionOf(sent));
            complete(sent);
        }
    }

    @Test
    void olderWeightsAreUsedAfterTheGracePeriodIfNoUpstreamHasTheNewest() {
        context.update(record(1, 2));
        complete(send(0, 100));
        context.clock.run(GRACE_PERIOD_MS);
        context.update(DataPlaneContext.record("m1", "m", Stage.GONE));
        SentRequest sent = send(1, 100);
        assertEquals(1, weightsVersionOf(sent));
        complete(sent);
    }

    @Test
    void retryBeforeTheResponseStartsGoesToTheNewestWeights() {
        context.update(record(1, 2), record(2, 2));
        SentRequest first = send(0, 100);
        first.loseConnection();
        SentRequest second = context.connections.lastSent();
        assertNotEquals(first.upstream, second.upstream);
        assertEquals(2, weightsVersionOf(second));
    }
}
