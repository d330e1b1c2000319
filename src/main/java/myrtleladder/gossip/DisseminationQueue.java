package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are still to be disseminated, piggybacked on other datagrams. Of those that fit, the
 * least sent go first (SWIM, section 4.1); each is sent a number of times that grows with the
 * logarithm of the number of members. It holds at most one update a name: a newer one replaces the
 * older.
 */
final class DisseminationQueue {
    /** Bounds memory; what is evicted still spreads by anti-entropy. */
    private static final int MAX_UPDATES = 256;

    /** The least sent first, and among these the latest. */
    private static final Comparator<QueuedUpdate> SENDING_ORDER =
            Comparator.<QueuedUpdate>comparingInt(q -> q.timesSent)
                    .thenComparingLong(q -> -q.number);

    private final Map<String, QueuedUpdate> queued = new HashMap<>();
    private long nextNumber;

    private static final class QueuedUpdate {
        final MemberUpdate update;
        final int encodedBytes;
        final long number;
        int timesSent;

        QueuedUpdate(MemberUpdate update, long number) {
            this.update = update;
            this.encodedBytes = GossipCodec.encodedSize(update);
            this.number = number;
        }
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    int size() {
        return queued.size();
    }

    /** Queues an update in place of any other on the same name. */
    void add(MemberUpdate update) {
        queued.put(update.name(), new QueuedUpdate(update, nextNumber++));
        if (queued.size() > MAX_UPDATES) {
            queued.values().stream()
                    .max(SENDING_ORDER)
                    .ifPresent(last -> queued.remove(last.update.name()));
        }
    }

    /**
     * Takes the updates to send next and counts them as sent.
     *
     * @param maxBytes room for the encoded updates
     * @param maxTimes an update that was sent so often is removed
     */
    List<MemberUpdate> take(int maxBytes, int maxTimes) {
        if (queued.isEmpty()) {
            return List.of();
        }
        List<QueuedUpdate> inOrder = new ArrayList<>(queued.values());
        inOrder.sort(SENDING_ORDER);
        List<MemberUpdate> taken = new ArrayList<>();
        int bytesLeft = maxBytes;
        for (QueuedUpdate next : inOrder) {
            if (next.encodedBytes <= bytesLeft) {
                bytesLeft -= next.encodedBytes;
                taken.add(next.update);
                next.timesSent++;
                if (next.timesSent >= maxTimes) {
                    queued.remove(next.update.name());
                }
            }
        }
        return taken;
    }
}
