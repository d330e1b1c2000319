package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News that goes out with other messages. Of what fits, that goes first that was sent least (SWIM,
 * section 4.1); each piece goes out a number of times that grows with the logarithm of the fleet.
 * One piece for each name: a greater claim takes the place of a lesser.
 */
final class Rumours {
    /** More are not kept: what is pushed out here comes by the comparison of pictures. */
    private static final int MOST = 256;

    private final Map<String, Rumour> rumours = new HashMap<>();
    private long numbers;

    private static final class Rumour {
        final Claim claim;
        final int size;
        final long number;
        int sent;

        Rumour(Claim claim, long number) {
            this.claim = claim;
            this.size = Wire.size(claim);
            this.number = number;
        }
    }

    boolean isEmpty() {
        return rumours.isEmpty();
    }

    int size() {
        return rumours.size();
    }

    void add(Claim claim) {
        rumours.put(claim.name(), new Rumour(claim, numbers++));
        if (rumours.size() > MOST) {
            rumours.values().stream()
                    .max(
                            Comparator.<Rumour>comparingInt(r -> r.sent)
                                    .thenComparingLong(r -> -r.number))
                    .ifPresent(r -> rumours.remove(r.claim.name()));
        }
    }

    /**
     * What goes out now within so many bytes; each has been sent once more, at most {@code times}.
     */
    List<Claim> take(int bytes, int times) {
        if (rumours.isEmpty()) {
            return List.of();
        }
        List<Rumour> order = new ArrayList<>(rumours.values());
        order.sort(Comparator.<Rumour>comparingInt(r -> r.sent).thenComparingLong(r -> -r.number));
        List<Claim> taken = new ArrayList<>();
        int left = bytes;
        for (Rumour rumour : order) {
            if (rumour.size <= left) {
                left -= rumour.size;
                taken.add(rumour.claim);
                if (++rumour.sent >= times) {
                    rumours.remove(rumour.claim.name());
                }
            }
        }
        return taken;
    }
}
