package myrtleladder.consensus;

/**
 * One process of the cluster, from its start to its end. It is what has a vote: nothing survives a
 * process, so the next one of that name has promised nothing.
 *
 * @param name of the member
 * @param startId drawn at random at each start; tells a restarted process from the one before
 */
public record ProcessId(String name, long startId) {
    @Override
    public String toString() {
        return name + "/" + Long.toHexString(startId);
    }
}
