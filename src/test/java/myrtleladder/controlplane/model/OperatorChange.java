package myrtleladder.controlplane.model;

import java.nio.charset.StandardCharsets;

/** An order of an operator: a whole configuration whose one service has the order's name. */
record OperatorChange(String name, long match, long generation) {
    private static final String SERVICE = "{\"name\":\"";

    byte[] body() {
        String text =
                "{\"generation\":" + generation + ",\"services\":[" + SERVICE + name + "\"}]}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The name of the order whose configuration a document is. */
    static String nameIn(byte[] document) {
        String text = new String(document, StandardCharsets.UTF_8);
        int start = text.indexOf(SERVICE);
        if (start < 0) {
            return "";
        }
        int from = start + SERVICE.length();
        return text.substring(from, text.indexOf('"', from));
    }

    /** The generation that a document tells. */
    static long generationIn(byte[] document) {
        String text = new String(document, StandardCharsets.UTF_8);
        int from = text.indexOf("\"generation\":") + "\"generation\":".length();
        int end = from;
        while (end < text.length() && Character.isDigit(text.charAt(end))) {
            end++;
        }
        return Long.parseLong(text.substring(from, end));
    }
}
