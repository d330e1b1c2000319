package myrtleladder.controlplane.model;

import java.nio.charset.StandardCharsets;

/**
 * A configuration change of an operator: a complete configuration with one service, which is named
 * after the change.
 *
 * @param base the generation in {@code If-Match}
 * @param generation the generation of the new configuration
 */
record OperatorChange(String name, long base, long generation) {
    private static final String SERVICE = "{\"name\":\"";
    private static final String GENERATION = "\"generation\":";

    byte[] body() {
        String text = "{" + GENERATION + generation + ",\"services\":[" + SERVICE + name + "\"}]}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The name of the change that produced a document, empty if it has none. */
    static String nameIn(byte[] document) {
        String text = new String(document, StandardCharsets.UTF_8);
        int service = text.indexOf(SERVICE);
        if (service < 0) {
            return "";
        }
        int start = service + SERVICE.length();
        return text.substring(start, text.indexOf('"', start));
    }

    /** The generation of a document. */
    static long generationIn(byte[] document) {
        String text = new String(document, StandardCharsets.UTF_8);
        int start = text.indexOf(GENERATION) + GENERATION.length();
        int end = start;
        while (end < text.length() && Character.isDigit(text.charAt(end))) {
            end++;
        }
        return Long.parseLong(text.substring(start, end));
    }
}
