package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The greatest update received on each name, and digests by which the tables of two processes are
 * compared. Names are hashed into buckets, so that of two large tables only the buckets that differ
 * have to be sent.
 */
final class MemberTable {
    /**
     * So many digests fit into a datagram with room to spare, and 5,000 members make 157 updates a
     * bucket. A power of two, and no more than the bits of a long.
     */
    static final int BUCKETS = 32;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final long[] bucketDigests = new long[BUCKETS];
    private int presentCount;
    private long lastChangedUs;

    private record Entry(MemberUpdate update, long sinceUs) {}

    /** Stores an update; the caller has checked that it supersedes the one stored. */
    void put(MemberUpdate update, long nowUs) {
        lastChangedUs = nowUs;
        Entry previous = entries.put(update.name(), new Entry(update, nowUs));
        if (previous != null) {
            toggle(previous.update(), -1);
        }
        toggle(update, 1);
    }

    /** Adds to, or removes from, digests and count; digests are XORs, so both are one operation. */
    private void toggle(MemberUpdate update, int change) {
        if (update.state().isPresent()) {
            bucketDigests[bucket(update.name())] ^= update.hash();
            presentCount += change;
        }
    }

    /** Forgets members that have been gone for longer than the tombstones are kept. */
    void removeExpired(long nowUs, long tombstoneTtlUs) {
        for (Iterator<Entry> all = entries.values().iterator(); all.hasNext(); ) {
            Entry entry = all.next();
            if (!entry.update().state().isPresent() && nowUs - entry.sinceUs() > tombstoneTtlUs) {
                all.remove();
            }
        }
    }

    /** The update stored for a name, null if there is none. */
    MemberUpdate get(String name) {
        Entry entry = entries.get(name);
        return entry == null ? null : entry.update();
    }

    /** When the update stored for a name was stored; the name has to be known. */
    long sinceUs(String name) {
        return entries.get(name).sinceUs();
    }

    /** All updates, those on members that are gone too, in the order in which names came. */
    Collection<MemberUpdate> all() {
        return entries.values().stream().map(Entry::update).toList();
    }

    /** How many members are present, this process among them. */
    int presentCount() {
        return presentCount;
    }

    /** When an update was last stored. */
    long lastChangedUs() {
        return lastChangedUs;
    }

    int size() {
        return entries.size();
    }

    static int bucket(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return (hash ^ hash >>> 16) & BUCKETS - 1;
    }

    /** Digest of the whole table. */
    long digest() {
        long digest = 0;
        for (long bucketDigest : bucketDigests) {
            digest = digest * 31 + bucketDigest;
        }
        return digest;
    }

    List<Long> bucketDigests() {
        List<Long> digests = new ArrayList<>(BUCKETS);
        for (long bucketDigest : bucketDigests) {
            digests.add(bucketDigest);
        }
        return digests;
    }

    /** The buckets, a bit for each, whose digests differ from another table's. */
    long differingBuckets(List<Long> otherDigests) {
        long buckets = 0;
        for (int b = 0; b < BUCKETS && b < otherDigests.size(); b++) {
            if (otherDigests.get(b) != bucketDigests[b]) {
                buckets |= 1L << b;
            }
        }
        return buckets;
    }

    /** The updates of some buckets, those on members that are gone too: others may lack them. */
    List<MemberUpdate> updatesIn(long buckets) {
        return entries.values().stream()
                .map(Entry::update)
                .filter(u -> (buckets >> bucket(u.name()) & 1) == 1)
                .toList();
    }
}
