package myrtleladder.replication;

import java.util.List;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;

/** The state of a node whose storage is empty. */
final class InitialState {
    private InitialState() {}

    /**
     * Returns the first state of a node: on the first start of the system a seed is a member of the
     * group of all seeds, with identities that every node can derive; any other node has to join.
     */
    static StoredState create(ReplicaOptions options, String newStore) {
        String address = options.self().address;
        boolean seed = options.seeds().stream().anyMatch(s -> s.address.equals(address));
        if (!options.bootstrap() || !seed) {
            return StoredState.of(newStore, 0, null, new Snapshot());
        }
        List<Member> group =
                options.seeds().stream()
                        .map(s -> Member.of(s.address, s.controlAddress, storeOfSeed(s)))
                        .toList();
        View view = View.of(0, null, group, group, group);
        return StoredState.of(storeOfSeed(options.self()), 0, view, new Snapshot());
    }

    private static String storeOfSeed(Member seed) {
        return "first-" + seed.address;
    }
}
