package myrtleladder.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.testbed.fault.Fault;
import org.junit.jupiter.api.Test;

/** Requests of a term that is over, as from a leader or candidate that was deposed meanwhile. */
class StaleTermTest {
    private static final long SECOND_US = 1_000_000;
    private static final long STEP_US = 10_000;

    /** Marks the requests of these tests, which no process of the cluster sends. */
    private static final long SENT_AT_US = 987_654_321;

    private static final ConsensusSettings SETTINGS =
            ConsensusSettings.of("dhaka", List.of("m0", "m1", "m2", "m3", "m4"));

    private static SimulatedConsensusCluster settledCluster() {
        SimulatedConsensusCluster cluster = new SimulatedConsensusCluster(11, SETTINGS).with(5);
        cluster.run(12 * SECOND_US);
        return cluster;
    }

    private static ConsensusNode node(SimulatedConsensusCluster cluster, String name) {
        return cluster.nodes.get(name).agreement;
    }

    private static Term before(Term term) {
        return term.round() > 0
                ? new Term(term.epoch(), term.round() - 1)
                : new Term(term.epoch() - 1, 0);
    }

    private static byte[] datagram(Message message) {
        return MessageEncoder.encode(SETTINGS.fleet(), message.toFrame());
    }

    /** Two followers: the one that is asked and the one that asks. */
    private static List<String> followers(SimulatedConsensusCluster cluster) {
        List<String> names = new ArrayList<>(cluster.living());
        names.remove(node(cluster, names.get(0)).leader().name());
        return names.subList(0, 2);
    }

    @Test
    void aLeaderOfAnEarlierTermIsNotFollowedAndLearnsTheTermItMissed() {
        SimulatedConsensusCluster cluster = settledCluster();
        String asked = followers(cluster).get(0);
        String deposed = followers(cluster).get(1);
        ConsensusNode node = node(cluster, asked);
        ProcessId leader = node.leader();
        Term term = node.term();
        List<MessageFrame> sent = new ArrayList<>();
        cluster.says =
                frame -> {
                    if (frame.number() == SENT_AT_US) {
                        sent.add(frame);
                    }
                    return frame;
                };

        node.onDatagram(
                cluster.world.now(),
                datagram(
                        new AppendRequest(
                                cluster.nodes.get(deposed).me,
                                before(term),
                                0,
                                Term.NONE,
                                SENT_AT_US,
                                List.of(),
                                0)));

        assertEquals(leader, node.leader());
        assertNotEquals(deposed, node.leader().name());
        assertEquals(term, node.term());
        assertEquals(1, sent.size());
        assertEquals(MessageFrame.Kind.APPEND_RESPONSE, sent.get(0).kind());
        assertEquals(term, sent.get(0).term());
        assertEquals(false, sent.get(0).isPositive());
    }

    @Test
    void aCandidateOfAnEarlierTermGetsNoVoteAlsoWithoutALeader() {
        SimulatedConsensusCluster cluster = settledCluster();
        String asked = followers(cluster).get(0);
        String candidate = followers(cluster).get(1);
        ConsensusNode node = node(cluster, asked);
        Term earlier = before(node.term());
        List<MessageFrame> votes = new ArrayList<>();
        cluster.says =
                frame -> {
                    if (frame.number() == SENT_AT_US) {
                        votes.add(frame);
                    }
                    return frame;
                };

        cluster.world.bring(new Fault.Kill(node.leader().name()));
        for (long us = 0; us < 3 * SECOND_US; us += STEP_US) {
            node.onDatagram(
                    cluster.world.now(),
                    datagram(
                            new VoteRequest(
                                    cluster.nodes.get(candidate).me,
                                    earlier,
                                    Integer.MAX_VALUE,
                                    new Term(Integer.MAX_VALUE, 0),
                                    SENT_AT_US,
                                    false,
                                    true)));
            cluster.run(STEP_US);
        }

        assertTrue(node.term().compareTo(earlier) > 0);
        assertEquals(List.of(), votes);
    }
}
