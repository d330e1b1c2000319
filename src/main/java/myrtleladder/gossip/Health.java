package myrtleladder.gossip;

/**
 * How well this process itself does, from 0 (well) to 8 (Lifeguard, section IV-A). One that gets no
 * answers, or stands still, is more likely to be at fault than all the others together: it probes
 * slower and waits longer.
 */
final class Health {
    private static final int WORST = 8;
    private int score;

    void worse(int by) {
        score = Math.min(WORST, score + by);
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    long stretch(long time) {
        return time * (score + 1);
    }
}
