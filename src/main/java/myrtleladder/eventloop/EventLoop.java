package myrtleladder.eventloop;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
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
 * The single thread of a process that runs socket events, timers and tasks. Timers run between two
 * selections, so that they need no thread and no wake-up of their own.
 *
 * <p>Threading: {@link #execute}, {@link #executeAndWait} and {@link #stop} may be called on any
 * thread; {@link #schedule} and all that the loop calls back run on the loop. An unchecked
 * exception or an error of a task or timer is logged and does not end the loop.
 */
public final class EventLoop implements Scheduler {
    private static final Logger LOG = LogManager.getLogger(EventLoop.class);
    // The library would log a stack trace for each peer that breaks the protocol; the connections'
    // owners close these.
    private static final java.util.logging.Logger LIBRARY_LOG =
            java.util.logging.Logger.getLogger("org.glassfish.grizzly");

    /** Longest selection without a timer. */
    private static final long MAX_SELECT_MS = 10_000;

    /** Connections that the kernel accepts ahead of the loop. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Most bytes taken in one read. */
    private static final int READ_BUFFER_BYTES = 16 * 1_024;

    private final TimerQueue timers = new TimerQueue();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final TCPNIOTransport transport;

    /** Set by the first selection; null before. */
    private volatile SelectorRunner selectorRunner;

    /** Creates a loop, which runs after {@link #start}. */
    public EventLoop() {
        LIBRARY_LOG.setLevel(java.util.logging.Level.OFF);
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
        builder.setServerConnectionBackLog(ACCEPT_BACKLOG);
        builder.setReadBufferSize(READ_BUFFER_BYTES);
        builder.setKeepAlive(false);
        transport = builder.build();
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(-1);
    }

    /**
     * Starts the thread of this loop.
     *
     * @throws NetworkException if the transport can't be started
     */
    public void start() {
        try {
            transport.start();
        } catch (IOException e) {
            throw new NetworkException(
                    ResultCode.NO_SOCKET, "the transport can't start: " + e.getMessage(), e);
        }
    }

    /** Closes all sockets and ends the thread; a failure is logged only. */
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
    public Timer schedule(long delayMs, Runnable task) {
        return timers.add(now() + Math.max(0, delayMs), task);
    }

    /** Runs a task on the loop, before the next selection. May be called on any thread. */
    public void execute(Runnable task) {
        tasks.add(task);
        SelectorRunner current = selectorRunner;
        if (current != null) {
            current.getSelector().wakeup();
        }
    }

    /**
     * Runs a task on the loop and waits for it. May be called on any thread but that of the loop.
     *
     * @throws RuntimeException what the task throws
     */
    public void executeAndWait(Runnable task) {
        try {
            CompletableFuture.runAsync(task, this::execute).join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof RuntimeException failure) {
                throw failure;
            }
            throw e;
        }
    }

    /** Returns the transport on which connections of this loop are opened. */
    public TCPNIOTransport transport() {
        return transport;
    }

    /**
     * Listens at an address with a chain of filters.
     *
     * @throws NetworkException if the address can't be bound
     */
    public void bind(String host, int port, FilterChain chain) {
        try {
            org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler.builder(transport)
                    .processor(chain)
                    .build()
                    .bind(new java.net.InetSocketAddress(host, port), ACCEPT_BACKLOG);
        } catch (IOException e) {
            throw new NetworkException(
                    ResultCode.NO_SOCKET, "can't listen at " + host + ":" + port, e);
        }
    }

    private void runDueTasks() {
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
        } catch (RuntimeException | Error e) {
            reportDefect("task failed", e);
        }
    }

    /** Logs an exception or error that nobody expected and that must not end the loop. */
    public void reportDefect(String description, Throwable defect) {
        LOG.error(description, defect);
    }

    /** Runs what is due before each selection and bounds the selection by the next timer. */
    private final class TimedSelectorHandler extends DefaultSelectorHandler {
        TimedSelectorHandler() {
            super(MAX_SELECT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean preSelect(SelectorRunner runner) throws IOException {
            selectorRunner = runner;
            runDueTasks();
            return super.preSelect(runner);
        }

        @Override
        public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
            long dueMs = timers.nextDue();
            long waitMs =
                    dueMs == Long.MAX_VALUE
                            ? MAX_SELECT_MS
                            : Math.min(MAX_SELECT_MS, dueMs - now());
            boolean pending =
                    runner.getPostponedTasks() != null && !runner.getPostponedTasks().isEmpty();
            if (pending || waitMs <= 0 || !tasks.isEmpty()) {
                runner.getSelector().selectNow();
            } else {
                runner.getSelector().select(waitMs);
            }
            return runner.getSelector().selectedKeys();
        }
    }
}
