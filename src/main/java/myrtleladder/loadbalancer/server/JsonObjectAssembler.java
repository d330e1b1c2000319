package myrtleladder.loadbalancer.server;

import java.io.ByteArrayOutputStream;

/**
 * Assembles JSON objects from lines. Usually each line is one object; lines of a longer object are
 * joined until its braces are closed. A line that starts with an opening brace always begins a new
 * object and discards an unclosed one, so that a broken object does not affect the next.
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
     * @param maxBytes maximum size of an object joined from several lines
     * @param onUnclosedObject runs for each object that is discarded because it was not closed
     */
    JsonObjectAssembler(int maxBytes, Runnable onUnclosedObject) {
        this.maxBytes = maxBytes;
        this.onUnclosedObject = onUnclosedObject;
    }

    /**
     * Adds a line. Returns the object that it completes, or the line itself if it can't be part of
     * an object; null if more lines are needed.
     */
    byte[] add(byte[] line) {
        if (startsNewObject(line)) {
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

    private boolean startsNewObject(byte[] line) {
        return (line.length > 0 && line[0] == '{')
                || line.length == 0
                || partial.size() + line.length > maxBytes;
    }

    private void clear() {
        partial.reset();
        depth = 0;
    }

    /** Number of braces and brackets opened minus closed in a line; strings don't span lines. */
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
