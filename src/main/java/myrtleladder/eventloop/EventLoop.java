package myrtleladder.eventloop;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import myrtleladder.result.ResultCode;
import myrtleladder.scheduler.Scheduler;
import myrtleladder.scheduler.TimerQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * The one thread of a process on which sockets, timers and handed-in tasks run. Timers run between
 * two selections, so that they cost no thread and no wake-up of their own.
 */
public final class EventLoop implements Scheduler {
    private static final Logger LOG = LogManager.getLogger(EventLoop.class);
    // Peers that break the protocol are counted and closed here; the library would log a trace for
    // each.
    private static final java.util.logging.Logger LIBRARY =
            java.util.logging.Logger.getLogger("org.glassfish.grizzly");
    private static final long LONGEST_SELECT = 10_000;
    private static final int BACKLOG = 1_024;
    private static final int READ_BUFFER = 16 * 1_024;

    private final TimerQueue timers = new TimerQueue();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final TCPNIOTransport transport;
    private volatile SelectorRunner runner;

    /** Creates a loop; it runs from {@link #start} on. */
    public EventLoop() {
        LIBRARY.setLevel(java.util.logging.Level.OFF);
        TCPNIOTransportBuilder builder = TCPNIOTransportBuilder.newInstance();
        builder.setIOStrategy(SameThreadIOStrategy.getInstance());
        builder.setSelectorRunnersCount(1);
        builder.setSelectorHandler(new TimedSelectorHandler());
        builder.setMemoryManager(new HeapMemoryManager(0));
        builder.setSelectorThreadPoolConfig(
                ThreadPoolConfig.defaultConfig()
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1)
                        .setPoolName("loop"));
        builder.setTcpNoDelay(true);
        builder.setReuseAddress(true);
        builder.setServerConnectionBackLog(BACKLOG);
        builder.setReadBufferSize(READ_BUFFER);
        builder.setKeepAlive(false);
        transport = builder.build();
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(-1);
    }

    /** Starts the thread of this loop. */
    public void start() {
        try {
            transport.start();
        } catch (IOException e) {
            throw new NetworkException(
                    ResultCode.NO_SOCKET, "the transport can't start: " + e.getMessage(), e);
        }
    }

    /** Closes all sockets and ends the thread. */
    public void stop() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            LOG.warn("transport did not stop in order: {}", e.toString());
        }
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public Timer schedule(long delay, Runnable task) {
        return timers.add(now() + Math.max(0, delay), task);
    }

    /** Runs a task on the loop; for callers on other threads. */
    public void execute(Runnable task) {
        tasks.add(task);
        SelectorRunner current = runner;
        if (current != null) {
            current.getSelector().wakeup();
        }
    }

    /** Returns the transport on which connections of this loop are opened. */
    public TCPNIOTransport transport() {
        return transport;
    }

    /** Listens at an address with a chain of filters. */
    public void bind(String host, int port, FilterChain chain) {
        try {
            org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler.builder(transport)
                    .processor(chain)
                    .build()
                    .bind(new java.net.InetSocketAddress(host, port), BACKLOG);
        } catch (IOException e) {
            throw new NetworkException(
                    ResultCode.NO_SOCKET, "can't listen at " + host + ":" + port, e);
        }
    }

    private void runDue() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            runSafely(task);
        }
        long now = now();
        for (Runnable task = timers.poll(now); task != null; task = timers.poll(now)) {
            runSafely(task);
        }
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("task failed", e);
        }
    }

    /** Runs what is due before each selection and bounds the selection by the next timer. */
    private final class TimedSelectorHandler extends DefaultSelectorHandler {
        TimedSelectorHandler() {
            super(LONGEST_SELECT, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean preSelect(SelectorRunner selectorRunner) throws IOException {
            runner = selectorRunner;
            runDue();
            return super.preSelect(selectorRunner);
        }

        @Override
        public Set<SelectionKey> select(SelectorRunner selectorRunner) throws IOException {
            long due = timers.nextDue();
            long wait =
                    due == Long.MAX_VALUE ? LONGEST_SELECT : Math.min(LONGEST_SELECT, due - now());
            boolean pending =
                    selectorRunner.getPostponedTasks() != null
                            && !selectorRunner.getPostponedTasks().isEmpty();
            if (pending || wait <= 0 || !tasks.isEmpty()) {
                selectorRunner.getSelector().selectNow();
            } else {
                selectorRunner.getSelector().select(wait);
            }
            return selectorRunner.getSelector().selectedKeys();
        }
    }
}
