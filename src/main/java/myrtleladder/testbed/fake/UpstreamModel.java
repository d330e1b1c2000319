package myrtleladder.testbed.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import myrtleladder.testbed.checker.SlowStartWindow;

/**
 * An upstream without its sockets: requests come in, answers and the time of the next event go out.
 * It queues, warms up, remembers keys, drains, slows down, hangs, and falls over when it is pushed
 * while cold. Times are microseconds of one clock that is passed in.
 */
public final class UpstreamModel {
    /** How a request ends here. */
    public enum End {
        /** It has run. */
        SERVED,
        /** It has run and is answered 500. */
        ERROR,
        /** Unseen: queue full, draining, or its time is over. */
        TURNED_AWAY
    }

    /** Where its decisions go. */
    public interface Out {
        /** Ends a request that is still open. */
        void end(long ticket, End end);

        /** The process dies: all connections break and new ones are refused. */
        void fall();
    }

    private final UpstreamProfile kind;
    private final Out out;
    private final SplittableRandom random;
    private final long startedAt;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Map<Long, Job> running = new LinkedHashMap<>();
    private final Map<String, Long> keys =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > kind.keyRoom();
                }
            };
    private final SlowStartWindow slowStartWindow;
    private final Deque<Report> reports = new ArrayDeque<>();
    private double slower = 1;
    private boolean draining;
    private boolean hanging;
    private boolean down;
    private long periodBegan;
    private double busy;
    private double spent;
    private int served;
    private int errors;
    private String told;

    /** An upstream that starts now, cold. */
    public UpstreamModel(UpstreamProfile kind, long seed, long now, Out out) {
        this.kind = kind;
        this.random = new SplittableRandom(seed);
        this.startedAt = now;
        this.periodBegan = now;
        this.out = out;
        this.slowStartWindow = new SlowStartWindow(kind.rules(), kind.capacity(), now);
    }

    private static final class Job {
        final long ticket;
        final String key;
        final double work;
        final long deadline;
        long done;

        Job(long ticket, String key, double work, long deadline) {
            this.ticket = ticket;
            this.key = key;
            this.work = work;
            this.deadline = deadline;
        }
    }

    private record Report(long at, String text) {}

    // ---- What is done to it
    // ----------------------------------------------------------------------------

    /** The last byte of a request has come. */
    public void arrived(long now, long ticket, String key, double work, long deadline) {
        if (down) {
            return;
        }
        closePeriods(now);
        if (slowStartWindow.add(now, work) > 1) {
            down = true;
            waiting.clear();
            running.clear();
            out.fall();
            return;
        }
        if (draining
                || !hanging && running.size() >= kind.cores() && waiting.size() >= kind.queue()) {
            out.end(ticket, End.TURNED_AWAY);
            return;
        }
        waiting.add(new Job(ticket, key, work, deadline));
        begin(now);
    }

    /**
     * Whoever sent it has stopped waiting: what has not begun is dropped, what runs goes on unseen.
     */
    public void abandoned(long ticket) {
        waiting.removeIf(j -> j.ticket == ticket);
    }

    /** Something is due: call it at {@link #next}. */
    public void due(long now) {
        while (!running.isEmpty() && !hanging) {
            Job first = first();
            if (first.done > now) {
                return;
            }
            running.remove(first.ticket);
            closePeriods(first.done);
            if (first.key != null) {
                keys.remove(first.key); // to the end of the line of those that are forgotten
                keys.put(first.key, first.done);
            }
            boolean error = random.nextDouble() < kind.errorChance();
            served += error ? 0 : 1;
            errors += error ? 1 : 0;
            out.end(first.ticket, error ? End.ERROR : End.SERVED);
            begin(first.done);
        }
    }

    /** When {@link #due} has to be called next; {@code Long.MAX_VALUE} if nothing is due. */
    public long next() {
        return running.isEmpty() || hanging ? Long.MAX_VALUE : first().done;
    }

    private Job first() {
        Job first = null;
        for (Job job : running.values()) {
            first = first == null || job.done < first.done ? job : first;
        }
        return first;
    }

    private void begin(long now) {
        while (!hanging && running.size() < kind.cores() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (job.deadline <= now) {
                out.end(job.ticket, End.TURNED_AWAY);
                continue;
            }
            Long met = job.key == null ? null : keys.get(job.key);
            double saved = met != null && now - met <= kind.keyMemory() ? kind.keySaving() : 0;
            double took =
                    job.work
                            * (1 - saved)
                            * slower
                            / (kind.speed() * kind.rules().slowStartFactor(now - startedAt));
            job.done = now + Math.max(1, Math.round(took));
            busy += took;
            spent += took;
            running.put(job.ticket, job);
        }
    }

    // ---- Troubles
    // --------------------------------------------------------------------------------------

    /** From now on it finishes what it has and turns away what is new. */
    public void drain() {
        draining = true;
    }

    /** While it hangs it takes all and answers nothing; afterwards it goes on with what it has. */
    public void hang(long now, boolean on) {
        hanging = on;
        if (!on) {
            running.values().forEach(j -> j.done = Math.max(j.done, now));
            begin(now);
        }
    }

    /** What begins from now on takes so many times as long. */
    public void slow(double times) {
        slower = times;
    }

    // ---- What it tells
    // ---------------------------------------------------------------------------------

    /** The load report as of some time ago, by the names of the wire; null before the first. */
    public String report(long now) {
        closePeriods(now);
        while (!reports.isEmpty() && reports.peek().at() <= now - kind.reportDelay()) {
            told = reports.poll().text();
        }
        return told;
    }

    private void closePeriods(long now) {
        while (now - periodBegan >= kind.reportPeriod()) {
            double seconds = kind.reportPeriod() / 1e6;
            double util = Math.min(1, busy / kind.cores() / kind.reportPeriod());
            periodBegan += kind.reportPeriod();
            reports.add(
                    new Report(
                            periodBegan,
                            String.format(
                                    Locale.ROOT,
                                    "cpu=%.3f,rps=%.2f,err_rps=%.2f",
                                    util,
                                    served / seconds,
                                    errors / seconds)));
            busy = Math.max(0, busy - (double) kind.cores() * kind.reportPeriod());
            served = 0;
            errors = 0;
        }
    }

    /** Time of its cores that was given to requests since its start, in microseconds. */
    public double spent() {
        return spent;
    }

    /** Whether it drains, and so is in ill health. */
    public boolean draining() {
        return draining;
    }

    /** Whether it has fallen over. */
    public boolean down() {
        return down;
    }
}
