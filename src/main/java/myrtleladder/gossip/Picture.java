package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The greatest claim heard on each name, and digests by which two pictures are compared. Names are
 * dealt out among parts, so that of two large pictures only parts that differ have to be sent.
 */
final class Picture {
    /**
     * So many digests fit into a datagram with room to spare; 5,000 members make 157 claims a part.
     */
    static final int PARTS = 32;

    private final Map<String, Held> held = new LinkedHashMap<>();
    private final long[] digests = new long[PARTS];
    private int present;

    private record Held(Claim claim, long since) {}

    /** Keeps a claim in place of the one held; the caller has seen that it goes before that. */
    Claim put(Claim claim, long now) {
        Held before = held.put(claim.name(), new Held(claim, now));
        if (before != null) {
            count(before.claim(), -1);
        }
        count(claim, 1);
        return before == null ? null : before.claim();
    }

    private void count(Claim claim, int by) {
        if (claim.state().present()) {
            digests[part(claim.name())] ^= claim.hash();
            present += by;
        }
    }

    /** Forgets who has been gone for so long. */
    void forget(long now, long tombstone) {
        for (Iterator<Held> all = held.values().iterator(); all.hasNext(); ) {
            Held h = all.next();
            if (!h.claim().state().present() && now - h.since() > tombstone) {
                all.remove();
            }
        }
    }

    Claim of(String name) {
        Held h = held.get(name);
        return h == null ? null : h.claim();
    }

    /** Since when the claim held on a name is held. */
    long since(String name) {
        return held.get(name).since();
    }

    Collection<Claim> all() {
        return held.values().stream().map(Held::claim).toList();
    }

    /** How many are there, this process among them. */
    int present() {
        return present;
    }

    int size() {
        return held.size();
    }

    static int part(String name) {
        int h = name.hashCode() * 0x9E3779B9;
        return (h ^ h >>> 16) & PARTS - 1;
    }

    long digest() {
        long all = 0;
        for (int p = 0; p < PARTS; p++) {
            all = all * 31 + digests[p];
        }
        return all;
    }

    List<Long> digests() {
        List<Long> list = new ArrayList<>(PARTS);
        for (long digest : digests) {
            list.add(digest);
        }
        return list;
    }

    /** The parts, a bit for each, whose digests are not these. */
    long differing(List<Long> others) {
        long bits = 0;
        for (int p = 0; p < PARTS && p < others.size(); p++) {
            bits |= others.get(p) == digests[p] ? 0 : 1L << p;
        }
        return bits;
    }

    /** The claims of some parts, those of members that are gone too: they may be news elsewhere. */
    List<Claim> claims(long parts) {
        return held.values().stream()
                .map(Held::claim)
                .filter(c -> (parts >> part(c.name()) & 1) == 1)
                .toList();
    }
}
