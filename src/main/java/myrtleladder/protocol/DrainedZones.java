package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * The zones that an operator has drained: nothing new is sent to their upstreams. A part of other
 * messages; those of a program that knows no drained zones have null in its place.
 */
public final class DrainedZones {
    /** Names of the zones, in ascending order. */
    public List<String> names = new ArrayList<>();

    /** Creates a message with these names. */
    public static DrainedZones of(List<String> names) {
        DrainedZones made = new DrainedZones();
        made.names = names;
        return made;
    }
}
