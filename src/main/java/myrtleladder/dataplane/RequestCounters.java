package myrtleladder.dataplane;

/** Counts what happened to requests since the start. Confined to the event loop. */
final class RequestCounters {
    /** An event that is counted. */
    enum Event {
        /** A client's request arrived. */
        REQUEST("request"),
        /** No route matched. */
        NO_ROUTE("no_route"),
        /** The API key was missing or unknown. */
        NO_KEY("no_key"),
        /** The tenant's quota was exhausted. */
        OVER_QUOTA("over_quota"),
        /** The admission controller rejected a request. */
        NOT_ADMITTED("refused"),
        /** No upstream could take a request. */
        NO_UPSTREAM("no_upstream"),
        /** An attempt got no connection. */
        NOT_SENT("not_sent"),
        /** An upstream rejected an attempt without running it. */
        REJECTED("rejected"),
        /** A response was not that of the attempt. */
        FOREIGN_RESPONSE("foreign_answer"),
        /** An attempt failed after it was sent. */
        ATTEMPT_FAILED("broken"),
        /** A request was retried since its upstream was unresponsive. */
        UNRESPONSIVE("silent");

        /** Name in the log line at the end of the process, which operators read. */
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

    /** All counts as label=count, separated by spaces. */
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
