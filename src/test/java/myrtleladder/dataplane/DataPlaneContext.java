package myrtleladder.dataplane;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.ManualScheduler;

/** A data plane on a manual clock, with scripted connections and a scripted quota allocator. */
final class DataPlaneContext {
    final ManualScheduler clock;
    final ScriptedConnectionPool connections = new ScriptedConnectionPool();
    final DataPlane dataPlane;
    private Message quotaResponse = QuotaResponse.of(true, 1_000_000, 0);

    private DataPlaneContext(Builder builder) {
        clock = builder.clock;
        dataPlane =
                new DataPlane(
                        clock,
                        connections,
                        new RetryBudget(0.2, 100),
                        (request, timeoutMs, callback) -> callback.accept(quotaResponse),
                        new WeightsRollout(builder.versionBoundMs),
                        builder.warmupSettings,
                        builder.seed);
        if (builder.configuration != null) {
            dataPlane.applyConfiguration(builder.configuration);
        }
        if (!builder.records.isEmpty()) {
            dataPlane.directory().applyRecords(builder.records, true);
            dataPlane.start();
        }
    }

    /**
     * Creates a context with the routes of {@link RoutesDocument} and three upstreams per service.
     */
    static DataPlaneContext withRouteOfEachKind() {
        return new Builder()
                .withConfiguration(RoutesDocument.TEXT)
                .withUpstreams("m", 3)
                .withUpstreams("p", 3)
                .withUpstreams("q", 3)
                .build();
    }

    /** Creates an upstream directory without upstreams and with a listener that does nothing. */
    static UpstreamDirectory emptyDirectory() {
        WarmupSettings settings = new WarmupSettings("e", 1, 0, 1_200);
        return new UpstreamDirectory(u -> {}, new WarmupContext(settings), new ManualScheduler());
    }

    /** Parses a configuration document written with single quotes. */
    static Configuration configuration(String document) {
        byte[] bytes = document.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return Configuration.parse(JsonCodec.parseObject(bytes));
    }

    /** Creates the record of an upstream in zone z. */
    static InstanceRecord record(String id, String service, Stage stage) {
        return InstanceRecord.of(id, service, "10.0.0.1:80", "z", 64, "v1", stage, 1);
    }

    /** Sets the response to all later quota requests; null stands for a timeout. */
    void answerQuotaRequestsWith(Message response) {
        quotaResponse = response;
    }

    /** Sends a request as a client. */
    ScriptedClient send(String path, String... fields) {
        ScriptedClient client = new ScriptedClient(path, fields);
        dataPlane.router().handle(client);
        return client;
    }

    /** Applies changed records; other upstreams stay as they are. */
    void update(InstanceRecord... records) {
        dataPlane.directory().applyRecords(List.of(records), false);
    }

    /** Builds a context; its periodic work is started if there are upstreams. */
    static final class Builder {
        private final List<InstanceRecord> records = new ArrayList<>();
        private ManualScheduler clock = new ManualScheduler();
        private Configuration configuration;
        private long seed = 1;
        private long versionBoundMs;
        private WarmupSettings warmupSettings = new WarmupSettings("e", 1, 0, 1_200);

        /** Shares a clock with other contexts. */
        Builder withClock(ManualScheduler shared) {
            clock = shared;
            return this;
        }

        Builder withSeed(long value) {
            seed = value;
            return this;
        }

        /** Sets how long requests may still start on older weights after an upgrade. */
        Builder withVersionBoundMs(long value) {
            versionBoundMs = value;
            return this;
        }

        Builder withWarmupSettings(WarmupSettings value) {
            warmupSettings = value;
            return this;
        }

        Builder withConfiguration(String document) {
            configuration = configuration(document);
            return this;
        }

        /** Adds ready upstreams; their ids are the service name and a number from 1. */
        Builder withUpstreams(String service, int count) {
            for (int i = 1; i <= count; i++) {
                records.add(record(service + i, service, Stage.READY));
            }
            return this;
        }

        Builder withRecords(Collection<InstanceRecord> added) {
            records.addAll(added);
            return this;
        }

        DataPlaneContext build() {
            return new DataPlaneContext(this);
        }
    }
}
