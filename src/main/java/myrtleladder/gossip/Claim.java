package myrtleladder.gossip;

/**
 * What somebody says of a member. Claims on one name are in a total order, and everybody keeps the
 * greatest that was heard: so the order in which they come does not matter, nor how often.
 *
 * @param life drawn anew at each start of a process: tells a restarted one, or a second one under
 *     the same name, from the first
 * @param incarnation raised by the member itself alone, to contradict what others say of it
 * @param rival whether the member has found another process that lives under its name
 * @param address where it can be reached
 * @param by who says so
 */
public record Claim(
        String name,
        long life,
        long incarnation,
        State state,
        boolean rival,
        String address,
        String by,
        Meta meta) {

    /** Whether this goes before another claim on the same name. */
    boolean supersedes(Claim other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return life != other.life ? life > other.life : state.compareTo(other.state) > 0;
    }

    Claim with(State other, String who) {
        return new Claim(name, life, incarnation, other, rival, address, who, meta);
    }

    /**
     * What two pictures have to agree on; a suspicion is on its way to an end and does not count.
     */
    long hash() {
        long h = name.hashCode() * 0x9E3779B97F4A7C15L ^ life;
        h = (h ^ h >>> 30) * 0xBF58476D1CE4E5B9L ^ incarnation;
        h = (h ^ h >>> 27) * 0x94D049BB133111EBL;
        return h ^ h >>> 31;
    }
}
