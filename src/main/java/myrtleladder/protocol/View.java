package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

/**
 * A view in the sense of viewstamped replication: the primary, the replicas and the voting group
 * under the epoch that fences them.
 *
 * <p>Invariants: an epoch has one primary at most; the primary is the first replica. A change of
 * the group is joint: majorities of the group and of the previous one count until a view follows in
 * which they are equal.
 */
public final class View {
    /** The epoch. */
    public long epoch;

    /** The primary, null before the first. */
    public Member primary;

    /** The members that store the replicated state, the primary first. */
    public List<Member> replicas = new ArrayList<>();

    /** The members that store epochs and vote. */
    public List<Member> group = new ArrayList<>();

    /**
     * The group before this view; its majority counts too until a view follows in which nothing
     * changed.
     */
    public List<Member> previousGroup = new ArrayList<>();

    /** Creates a view from its parts. */
    public static View of(
            long epoch,
            Member primary,
            List<Member> replicas,
            List<Member> group,
            List<Member> previousGroup) {
        View view = new View();
        view.previousGroup = new ArrayList<>(previousGroup);
        view.epoch = epoch;
        view.primary = primary;
        view.replicas = new ArrayList<>(replicas);
        view.group = new ArrayList<>(group);
        return view;
    }

    /** Whether more than half of the group, and of the one before, is among the given members. */
    public boolean hasMajority(Collection<Member> members) {
        return majority(group, members) && majority(previousGroup, members);
    }

    /** Whether the group is the one before, so that a single majority counts. */
    public boolean isGroupStable() {
        return group.size() == previousGroup.size() && group.containsAll(previousGroup);
    }

    /** Whether all parts of another view equal those of this one. */
    public boolean isSameAs(View other) {
        return other.epoch == epoch
                && Objects.equals(other.primary, primary)
                && other.replicas.equals(replicas)
                && other.group.equals(group)
                && other.previousGroup.equals(previousGroup);
    }

    private static boolean majority(List<Member> voters, Collection<Member> members) {
        long count = voters.stream().filter(members::contains).count();
        return count > voters.size() / 2;
    }

    @Override
    public String toString() {
        return "epoch "
                + epoch
                + " primary "
                + primary
                + " replicas "
                + replicas
                + " group "
                + group;
    }
}
