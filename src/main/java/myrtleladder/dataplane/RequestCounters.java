package myrtleladder.dataplane;

/** How often each thing of note happened. */
final class RequestCounters {
    /** A thing of note. */
    enum Event {
        REQUEST,
        NO_ROUTE,
        NO_KEY,
        OVER_QUOTA,
        REFUSED,
        NO_UPSTREAM,
        NOT_SENT,
        REJECTED,
        FOREIGN_ANSWER,
        BROKEN,
        SILENT
    }

    private final long[] counts = new long[Event.values().length];

    void count(Event event) {
        counts[event.ordinal()]++;
    }

    long get(Event event) {
        return counts[event.ordinal()];
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Event event : Event.values()) {
            text.append(text.length() == 0 ? "" : " ")
                    .append(event.name().toLowerCase())
                    .append('=')
                    .append(get(event));
        }
        return text.toString();
    }
}
