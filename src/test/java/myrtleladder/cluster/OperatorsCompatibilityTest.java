package myrtleladder.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import myrtleladder.consensus.ConsensusEvent;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;
import myrtleladder.consensus.Term;
import myrtleladder.consensus.View;
import myrtleladder.gossip.GossipSettings;
import myrtleladder.gossip.MemberEvent;
import myrtleladder.gossip.MemberMetadata;
import myrtleladder.gossip.MemberState;
import myrtleladder.gossip.MemberUpdate;
import myrtleladder.maintenance.MaintenanceStateMachine;
import org.junit.jupiter.api.Test;

/**
 * Pins what operators get to see of the fleet: the JSON of the answers on members, agreement and
 * work, and the lines in the log on members and agreement with their fields. Dashboards and scripts
 * read both by name.
 */
class OperatorsCompatibilityTest {
    private static final GoldenFile GOLDEN = new GoldenFile("operators.txt");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final MemberUpdate CLAIM =
            new MemberUpdate(
                    "b1",
                    0x1234,
                    3,
                    MemberState.SUSPECT,
                    true,
                    "10.0.0.2:7400",
                    "b0",
                    new MemberMetadata("zone-a", "1.4.2", 1_700_000_000_123L, List.of("drain")));

    /** Keeps the lines that a logger gets. */
    private static final class Lines extends Handler {
        final BlockingQueue<LogRecord> records = new LinkedBlockingQueue<>();

        @Override
        public void publish(LogRecord line) {
            records.add(line);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @Test
    void theAnswerOnMembersKeepsItsFields() throws Exception {
        MembershipStatus look =
                new MembershipStatus(
                        CLAIM,
                        2,
                        1,
                        -5,
                        Map.of("foreign", 7L),
                        List.of(new MembershipStatus.ListedMember(CLAIM, 1.5)));
        GOLDEN.assertWritten("members", JSON.writeValueAsString(look));
    }

    @Test
    void theAnswerOnTheAgreementKeepsItsFields() throws Exception {
        ProcessId life = new ProcessId("b1", 0x1234);
        View view = new View(1_700_000_000_123L, 3, Map.of("b1", 0x1234L, "b0", 1L));
        ConsensusStatus look =
                new ConsensusStatus(
                        life, new Term(8, 9), life, true, view, 17, 2, Map.of("malformed", 7L));
        GOLDEN.assertWritten("agreement", JSON.writeValueAsString(look));
    }

    @Test
    void theAnswerOnWorkKeepsItsFields() throws Exception {
        MaintenanceStatus.JobStatus seen =
                new MaintenanceStatus.JobStatus(
                        "host-7",
                        "patch",
                        "OUT",
                        new FencingToken(8, 9),
                        17,
                        true,
                        "for b1",
                        "why");
        MaintenanceStatus look =
                new MaintenanceStatus(
                        List.of(seen),
                        "too hot",
                        true,
                        true,
                        true,
                        List.of("b1/1234"),
                        Map.of("patch", "names no machine"),
                        Map.of("malformed", 7L));
        GOLDEN.assertWritten("work", JSON.writeValueAsString(look));
    }

    private static MembershipRuntime member(MultiThreadIoEventLoopGroup group) {
        FleetConfiguration config =
                new FleetConfiguration(
                        GossipSettings.of("dhaka"),
                        "b0",
                        new InetSocketAddress("127.0.0.1", 0),
                        List.of(),
                        Map.of(),
                        MemberMetadata.NONE);
        return MembershipRuntime.start(group.next(), config);
    }

    /** What a class logs while something is done by a member that has just started. */
    private static LogRecord logged(Class<?> by, Consumer<MembershipRuntime> what)
            throws Exception {
        Logger logger = Logger.getLogger(by.getName());
        Lines lines = new Lines();
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            MembershipRuntime carrier = member(group);
            logger.addHandler(lines);
            what.accept(carrier);
            LogRecord line = lines.records.poll(20, TimeUnit.SECONDS);
            assertEquals(1, line.getParameters().length);
            return line;
        } finally {
            logger.removeHandler(lines);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    @Test
    void aMembersLineInTheLogKeepsItsWordsAndFields() throws Exception {
        MemberEvent event = new MemberEvent(MemberEvent.Kind.SUSPECTED, CLAIM, "no answer");
        LogRecord line = logged(MembershipRuntime.class, m -> m.onEvent(event));
        GOLDEN.assertWritten("log line", line.getLevel() + " " + line.getMessage());
        GOLDEN.assertWritten("log fields", line.getParameters()[0].toString());
    }

    @Test
    void anAgreementsLineInTheLogKeepsItsWordsAndFields() throws Exception {
        View view = new View(8, 3, Map.of("b1", 0x1234L, "b0", 1L));
        ConsensusEvent note =
                new ConsensusEvent(ConsensusEvent.Kind.CUT_OFF, view, "nobody was heard");
        ConsensusSettings settings = ConsensusSettings.of("dhaka", List.of("b0", "b1", "b2"));
        LogRecord line =
                logged(
                        ConsensusRuntime.class,
                        m ->
                                ConsensusRuntime.start(
                                                m, settings, new MaintenanceStateMachine(), p -> {})
                                        .onEvent(note));
        GOLDEN.assertWritten("agreement log line", line.getLevel() + " " + line.getMessage());
        GOLDEN.assertWritten("agreement log fields", line.getParameters()[0].toString());
    }
}
