package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Repairs differences between member tables that dissemination has left, as after a partition.
 *
 * <p>Each datagram carries the digest of its sender's table. If it differs, and updates have had
 * time to arrive by themselves, the receiver sends the digests of its buckets. The other process
 * answers with the updates of the buckets that differ, and asks for this process's in return. Times
 * are in microseconds.
 */
final class AntiEntropy {
    /** Periods without a change after which updates have had time to arrive. */
    private static final int SETTLED_PERIODS = 3;

    /** Tables that never settle are compared once in so many periods. */
    private static final int UNSETTLED_COMPARISON_PERIODS = 15;

    /** Periods between two comparisons at least. */
    private static final int MIN_COMPARISON_PERIODS = 2;

    /** Bounds the answer to one datagram. */
    private static final int MAX_DATAGRAMS = 16;

    private final GossipSettings settings;
    private final MemberTable table;
    private final DatagramSender sender;
    private final Random random;
    private long lastComparedUs;

    AntiEntropy(GossipSettings settings, MemberTable table, DatagramSender sender, Random random) {
        this.settings = settings;
        this.table = table;
        this.sender = sender;
        this.random = random;
    }

    void start(long nowUs) {
        lastComparedUs = nowUs;
    }

    /** Compares tables if the sender's differs and it is time to. */
    void onTableDigest(long nowUs, String from, GossipDatagram datagram) {
        if (datagram.tableDigest() != table.digest()
                && datagram.kind() != GossipDatagram.Kind.UPDATES
                && isComparisonDue(nowUs)) {
            lastComparedUs = nowUs;
            sender.send(from, sender.composeDigests(), null);
        }
    }

    private boolean isComparisonDue(long nowUs) {
        if (table.presentCount() == 1) {
            return true; // a process that is alone has nothing to wait for
        }
        long periodUs = settings.protocolPeriodUs();
        long sinceComparisonUs = nowUs - lastComparedUs;
        boolean isSettled =
                nowUs - table.lastChangedUs() >= SETTLED_PERIODS * periodUs
                        || sinceComparisonUs >= UNSETTLED_COMPARISON_PERIODS * periodUs;
        return isSettled && sinceComparisonUs >= MIN_COMPARISON_PERIODS * periodUs;
    }

    /** Another process has sent its digests: sends, and asks for, all that differs. */
    void onDigests(String from, List<Long> otherDigests) {
        long differing = table.differingBuckets(otherDigests);
        if (differing != 0) {
            sendBuckets(from, differing, differing);
        }
    }

    /** Another process has sent updates and asks for some of this one's in return. */
    void onBucketsRequested(String from, long buckets) {
        if (buckets != 0) {
            sendBuckets(from, buckets, 0);
        }
    }

    /** Sends the updates of some buckets in as many datagrams as they need, in random order. */
    private void sendBuckets(String address, long buckets, long requestedBuckets) {
        List<MemberUpdate> updates = new ArrayList<>(table.updatesIn(buckets));
        Collections.shuffle(updates, random);
        int next = 0;
        for (int sent = 0; sent < MAX_DATAGRAMS; sent++) {
            // Only the first datagram asks for updates in return; it goes also without updates.
            GossipDatagram datagram = sender.composeUpdates(sent == 0 ? requestedBuckets : 0);
            int end = endOfFitting(updates, next, sender.bytesForUpdates(datagram));
            sender.sendUnchanged(address, datagram.withUpdates(updates.subList(next, end)));
            next = end;
            if (next == updates.size()) {
                return;
            }
        }
    }

    /** The end of the longest run of updates from {@code start} that fits into so many bytes. */
    private static int endOfFitting(List<MemberUpdate> updates, int start, int maxBytes) {
        int bytesLeft = maxBytes;
        int end = start;
        while (end < updates.size()) {
            bytesLeft -= GossipCodec.encodedSize(updates.get(end));
            if (bytesLeft < 0) {
                break;
            }
            end++;
        }
        return end;
    }
}
