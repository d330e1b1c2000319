package myrtleladder.loadbalancer.server;

import java.io.ByteArrayOutputStream;

/**
 * Joins the lines of a list that comes indented. One line is one object as a rule; where an object
 * goes on over further lines, these are counted in until its braces close. An object that begins at
 * the start of a line ends whatever was not closed before it: a broken one costs itself and not all
 * that come after it.
 */
final class JsonObjectAssembler {
    private final int longest;
    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();
    private final Runnable broken;
    private int depth;

    /**
     * Objects of at most so many bytes; {@code broken} is told of each that was begun and never
     * closed.
     */
    JsonObjectAssembler(int longest, Runnable broken) {
        this.longest = longest;
        this.broken = broken;
    }

    /**
     * What is complete with this line, an object or what can't become one; null if more has to
     * come.
     */
    byte[] add(byte[] line) {
        if (line.length > 0 && line[0] == '{'
                || line.length == 0
                || begun.size() + line.length > longest) {
            if (begun.size() > 0) {
                broken.run();
            }
            begun.reset();
            depth = 0;
        }
        if (begun.size() == 0 && (line.length == 0 || opens(line) <= 0)) {
            return line;
        }
        begun.writeBytes(line);
        begun.write('\n');
        depth += opens(line);
        if (depth > 0) {
            return null;
        }
        byte[] whole = begun.toByteArray();
        begun.reset();
        depth = 0;
        return whole;
    }

    /**
     * Braces and brackets that a line opens, less those that it closes; a text ends with its line.
     */
    private static int opens(byte[] line) {
        int opens = 0;
        boolean text = false;
        for (int i = 0; i < line.length; i++) {
            byte b = line[i];
            if (text && b == '\\') {
                i++;
            } else if (b == '"') {
                text = !text;
            } else if (!text && (b == '{' || b == '[')) {
                opens++;
            } else if (!text && (b == '}' || b == ']')) {
                opens--;
            }
        }
        return opens;
    }
}
