package myrtleladder.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** One round of pre-vote requests with the positive responses to it. */
final class PreVoteRound {
    /** Value of {@link #unanimousSinceUs} while the council is not unanimous. */
    static final long NOT_UNANIMOUS = -1;

    private final long startedAtUs;
    private final Map<String, PreVoteResponse> responses = new HashMap<>();
    private boolean abandoned;

    /**
     * Since when each round found the whole council ready to bootstrap, {@link #NOT_UNANIMOUS} if
     * the last one did not.
     */
    private long unanimousSinceUs;

    PreVoteRound(long startedAtUs, long unanimousSinceUs) {
        this.startedAtUs = startedAtUs;
        this.unanimousSinceUs = unanimousSinceUs;
    }

    /** Whether responses to this round still count. */
    boolean isOpen() {
        return !abandoned;
    }

    /** Ends the round in favour of a candidate with a longer log. */
    void abandon() {
        abandoned = true;
    }

    boolean isAnsweredBy(PreVoteResponse response) {
        return isOpen() && response.requestSentAtUs() == startedAtUs;
    }

    void add(PreVoteResponse response) {
        responses.put(response.from().name(), response);
    }

    Collection<PreVoteResponse> responses() {
        return responses.values();
    }

    /** Whether each of so many other council members is ready to bootstrap. */
    boolean areAllReadyToBootstrap(int others) {
        return responses.size() == others
                && responses.values().stream().allMatch(PreVoteResponse::isReadyToBootstrap);
    }

    long unanimousSinceUs() {
        return unanimousSinceUs;
    }

    void markUnanimous(long nowUs) {
        unanimousSinceUs = unanimousSinceUs < 0 ? nowUs : unanimousSinceUs;
    }
}
