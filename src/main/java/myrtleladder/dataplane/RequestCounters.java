package myrtleladder.dataplane;

/** Counts request events since the start of the process. Confined to the event loop. */
final class RequestCounters {
    /** An event that is counted. Its label is written to the log, so it must not change. */
    enum Event {
        /** A request was received from a client. */
        REQUEST("request"),
        /** No route matched. */
        NO_ROUTE("no_route"),
        /** The API key was missing or unknown. */
        NO_KEY("no_key"),
        /** The tenant's quota was exhausted. */
        OVER_QUOTA("over_quota"),
        /** The admission controller rejected a request. */
        NOT_ADMITTED("refused"),
        /** No upstream was available for a request. */
        NO_UPSTREAM("no_upstream"),
        /** No connection could be established for an attempt. */
        NOT_SENT("not_sent"),
        /** An upstream rejected an attempt without executing the request. */
        REJECTED("rejected"),
        /** An upstream's response did not belong to the attempt. */
        FOREIGN_RESPONSE("foreign_answer"),
        /** An attempt failed after the request was sent. */
        ATTEMPT_FAILED("broken"),
        /** A request was retried because its upstream was unresponsive. */
        UNRESPONSIVE("silent");

        /** Name in the log line that is written when the process terminates. */
        private final String label;

        Event(String label) {
            this.label = label;
        }
    }

    private static final Event[] EVENTS = Event.values();

    private final long[] counts = new long[EVENTS.length];

    void increment(Event event) {
        counts[event.ordinal()]++;
    }

    long get(Event event) {
        return counts[event.ordinal()];
    }

    /** Returns all counts as label=count, separated by spaces. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Event event : EVENTS) {
            if (text.length() > 0) {
                text.append(' ');
            }
            text.append(event.label).append('=').append(get(event));
        }
        return text.toString();
    }
}
