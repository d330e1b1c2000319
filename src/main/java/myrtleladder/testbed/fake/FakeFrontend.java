package myrtleladder.testbed.fake;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Deals out new connections among the balancers that it holds for well, in turn. It takes one in
 * when its health was seen good, and notices only after some time that one is gone.
 */
public final class FakeFrontend {
    private final long notice;
    private final Map<String, Balancer> balancers = new LinkedHashMap<>();
    private int turn;

    /**
     * A front that keeps dealing connections to a balancer until its health was bad for so long.
     */
    public FakeFrontend(long noticeMicros) {
        this.notice = noticeMicros;
    }

    private static final class Balancer {
        final InetSocketAddress address;
        boolean in;
        int incarnation;
        boolean dying;
        long badSince = Long.MAX_VALUE;

        Balancer(InetSocketAddress address) {
            this.address = address;
        }
    }

    /** Adds a balancer that is not taken in yet. */
    public void add(String name, InetSocketAddress address) {
        balancers.put(name, new Balancer(address));
    }

    /** All that it knows, with their addresses. */
    public Map<String, InetSocketAddress> all() {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>();
        balancers.forEach((name, b) -> all.put(name, b.address));
        return all;
    }

    /** What a check of a balancer's health has shown. */
    public void checked(long now, String name, boolean good) {
        Balancer b = balancers.get(name);
        if (good) {
            b.in = true;
            b.badSince = Long.MAX_VALUE;
        } else if (b.in) {
            b.badSince = Math.min(b.badSince, now);
            b.in = now - b.badSince < notice;
        }
    }

    /** A balancer is about to be killed: what it has taken is not its to answer any more. */
    public void dies(String name) {
        balancers.get(name).dying = true;
    }

    /** It is dead, and may start again: connections from now on are those of its next life. */
    public void isDead(String name) {
        Balancer b = balancers.get(name);
        b.dying = false;
        b.incarnation++;
    }

    /** Which life of a balancer a new connection belongs to. */
    public int incarnation(String name) {
        return balancers.get(name).incarnation;
    }

    /** Whether whoever answered in that life has been killed. */
    public boolean killed(String name, int incarnation) {
        Balancer b = balancers.get(name);
        return b.dying || b.incarnation != incarnation;
    }

    /** Whether all have been taken in. */
    public boolean complete() {
        return balancers.values().stream().allMatch(b -> b.in);
    }

    /** Where the next connection goes; null if nobody is in. */
    public String next() {
        List<String> in = new ArrayList<>();
        balancers.forEach(
                (name, b) -> {
                    if (b.in) {
                        in.add(name);
                    }
                });
        return in.isEmpty() ? null : in.get(turn++ % in.size());
    }
}
