package myrtleladder.replication;

import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;

/**
 * The latest view known to this node and the highest epoch that it has observed.
 *
 * <p>Invariant: the epoch of the view never decreases, except that a view installed by this node
 * replaces any other. Confined to the event loop; only {@link QuorumState} changes the view.
 */
final class ViewTracker {
    private final Member self;
    private View view;
    private long highestObservedEpoch;

    /** Creates a tracker that starts with the stored view, null if there is none. */
    ViewTracker(Member self, View stored) {
        this.self = self;
        this.view = stored;
    }

    /** Returns the latest view, null if none is known. */
    View view() {
        return view;
    }

    /** Returns whether this node is a member of the latest view's group. */
    boolean isVoter() {
        return view != null && view.group.contains(self);
    }

    /** Returns whether this node is a replica of the latest view. */
    boolean isReplica() {
        return view != null && view.replicas.contains(self);
    }

    /**
     * Adopts a view that another node reported if it is later than the known one. Returns whether
     * it is.
     */
    boolean updateIfLater(View reported) {
        boolean isLater = view == null || reported.epoch > view.epoch;
        if (isLater) {
            view = reported;
        }
        return isLater;
    }

    /** Sets the view that this node installed as its primary. */
    void install(View installed) {
        view = installed;
    }

    /** Records an epoch that another member promised. */
    void observeEpoch(long epoch) {
        highestObservedEpoch = Math.max(highestObservedEpoch, epoch);
    }

    /** Returns the highest of the known view's epoch and the epochs that other members promised. */
    long highestEpoch() {
        long epochOfView = view == null ? 0 : view.epoch;
        return Math.max(highestObservedEpoch, epochOfView);
    }
}
