package myrtleladder.consensus;

/**
 * One life of a process, from a start to its end. It is what has a vote: nothing survives a
 * process, so the next life under its name has promised nothing and may be asked to promise nothing
 * for it.
 *
 * @param life drawn anew at each start
 */
public record Life(String name, long life) {
    @Override
    public String toString() {
        return name + "/" + Long.toHexString(life);
    }
}
