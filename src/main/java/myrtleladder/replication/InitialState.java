package myrtleladder.replication;

import java.util.List;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;

/** Creates the state of a node whose storage is empty. */
final class InitialState {
    /** The epoch of the initial view, which no primary has installed. */
    static final long EPOCH = 0;

    private InitialState() {}

    /**
     * Returns the initial state of a node. On the first start of the system, a seed belongs to the
     * group of all seeds, whose store ids every node can derive; any other node has to join.
     *
     * @param newStoreId the store id of a node that has to join
     */
    static StoredState create(ReplicaOptions options, String newStoreId) {
        String address = options.self().address;
        boolean isSeed = options.seeds().stream().anyMatch(s -> s.address.equals(address));
        if (!options.bootstrap() || !isSeed) {
            return StoredState.of(newStoreId, EPOCH, null, new Snapshot());
        }
        List<Member> group =
                options.seeds().stream()
                        .map(s -> Member.of(s.address, s.controlAddress, seedStoreId(s)))
                        .toList();
        View view = View.of(EPOCH, null, group, group, group);
        return StoredState.of(seedStoreId(options.self()), EPOCH, view, new Snapshot());
    }

    private static String seedStoreId(Member seed) {
        return "first-" + seed.address;
    }
}
