package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Format of the counts in the log line at the end of the process. */
class RequestCountersTest {
    @Test
    void countsAreWrittenWithTheNamesThatOperatorsRead() {
        RequestCounters counters = new RequestCounters();
        counters.increment(RequestCounters.Event.REQUEST);
        counters.increment(RequestCounters.Event.REQUEST);
        counters.increment(RequestCounters.Event.NOT_ADMITTED);
        assertEquals(
                "request=2 no_route=0 no_key=0 over_quota=0 refused=1 no_upstream=0 not_sent=0"
                        + " rejected=0 foreign_answer=0 broken=0 silent=0",
                counters.toString());
    }
}
