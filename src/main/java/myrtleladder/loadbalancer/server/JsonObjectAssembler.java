package myrtleladder.loadbalancer.server;

import java.io.ByteArrayOutputStream;

/**
 * Assembles JSON objects from lines. As a rule a line is one object; where an object goes on over
 * further lines, they are joined until its braces are closed. A line that starts with an opening
 * brace begins a new object and ends one that was not closed before it, so that a broken object
 * costs no other.
 *
 * <p>Not safe for use by several threads.
 */
final class JsonObjectAssembler {
    private final int maxBytes;
    private final Runnable onUnclosedObject;
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private int depth;

    /**
     * Creates an assembler.
     *
     * @param maxBytes of an object that is joined from several lines
     * @param onUnclosedObject runs for each object that was begun and never closed
     */
    JsonObjectAssembler(int maxBytes, Runnable onUnclosedObject) {
        this.maxBytes = maxBytes;
        this.onUnclosedObject = onUnclosedObject;
    }

    /**
     * Adds a line. Returns what is complete with it, an object or a line that can't become one;
     * null if more has to come.
     */
    byte[] add(byte[] line) {
        if (startsAnew(line)) {
            if (partial.size() > 0) {
                onUnclosedObject.run();
            }
            clear();
        }
        if (partial.size() == 0 && (line.length == 0 || depthChange(line) <= 0)) {
            return line;
        }
        partial.writeBytes(line);
        partial.write('\n');
        depth += depthChange(line);
        if (depth > 0) {
            return null;
        }
        byte[] complete = partial.toByteArray();
        clear();
        return complete;
    }

    private boolean startsAnew(byte[] line) {
        return (line.length > 0 && line[0] == '{')
                || line.length == 0
                || partial.size() + line.length > maxBytes;
    }

    private void clear() {
        partial.reset();
        depth = 0;
    }

    /** Braces and brackets that a line opens, less those that it closes; strings end with it. */
    private static int depthChange(byte[] line) {
        int change = 0;
        boolean isInString = false;
        for (int i = 0; i < line.length; i++) {
            byte b = line[i];
            if (isInString && b == '\\') {
                i++;
            } else if (b == '"') {
                isInString = !isInString;
            } else if (!isInString && (b == '{' || b == '[')) {
                change++;
            } else if (!isInString && (b == '}' || b == ']')) {
                change--;
            }
        }
        return change;
    }
}
