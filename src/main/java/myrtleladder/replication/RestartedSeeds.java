package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;

/**
 * Admits seeds that restarted with an empty disk before the first view was installed. The initial
 * view names the stores that the seeds had when the system was started for the first time. A seed
 * that ends before it has saved its store id comes back with another store, so that without a
 * substitution too few members of the initial group might remain to install any view.
 *
 * <p>A substitution requires a promise from the address of every seed. An installed view is on the
 * disks of more members than may lose their disks, so one of those that promise reports it, and the
 * initial view is no longer the latest one. Stateless.
 */
final class RestartedSeeds {
    private RestartedSeeds() {}

    /**
     * Returns the initial view with the present stores of all seeds if every seed is among the
     * given members, otherwise the view itself.
     *
     * @param view any view; only the initial view is changed
     * @param present this node and the members that promised
     */
    static View substituteIn(View view, Collection<Member> present) {
        if (view.epoch != InitialState.EPOCH) {
            return view;
        }
        List<Member> group = new ArrayList<>();
        for (Member seed : view.group) {
            Optional<Member> store = storeAt(seed, present);
            if (store.isEmpty()) {
                return view;
            }
            group.add(store.get());
        }
        return View.of(view.epoch, view.primary, group, group, group);
    }

    /** Returns the seed itself if it is present, otherwise another store at its address. */
    private static Optional<Member> storeAt(Member seed, Collection<Member> present) {
        if (present.contains(seed)) {
            return Optional.of(seed);
        }
        return present.stream().filter(member -> member.address.equals(seed.address)).findAny();
    }
}
