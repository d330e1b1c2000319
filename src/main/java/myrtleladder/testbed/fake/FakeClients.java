package myrtleladder.testbed.fake;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import myrtleladder.testbed.checker.Checker;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.fake.TrafficProfile.Arrival;

/**
 * The clients, in an open loop: each request goes out at its time, whatever became of those before.
 * They keep their connections, open more when all are busy, and try again by themselves. All on the
 * lab's event loop.
 */
public final class FakeClients {
    private static final int MAX_BODY = 64 * 1024;
    private static final long CHECK_MICROS = 100_000;
    private static final int CONNECT_MS = 1_000;

    private final EventLoop loop;
    private final TestbedClock clock;
    private final Checker checker;
    private final FakeFrontend frontend;
    private final List<RequestClass> classes;
    private final Retries retries;
    private final long slack;
    private final SplittableRandom random;
    private final Listener listener;
    private final Map<String, Double> work = new HashMap<>();
    private final Deque<Connection> idle = new ArrayDeque<>();
    private int unfinished;
    private boolean allSent;

    /**
     * How clients try again.
     *
     * @param most further tries
     * @param attemptShare part of the class's give-up time that one try gets
     * @param backoff mean wait before the next, doubled each time; a Retry-After goes before it
     */
    public record Retries(int most, double attemptShare, long backoff) {}

    /** What became of one first try and its retries. */
    public enum Outcome {
        /** Within its aim. */
        SERVED,
        /** After its aim. */
        LATE,
        /** The last try was refused. */
        REFUSED,
        /** The last try failed, or got no answer. */
        FAILED
    }

    /** Is told of each end, once; on the lab's event loop. */
    public interface Listener {
        /** {@code sentLate} is how long after its planned time the first try left the lab. */
        void ended(Arrival arrival, Outcome outcome, long took, int attempts, long sentLate);
    }

    /**
     * Clients that follow the front; {@code slack} is how long beyond its time they look for an
     * answer.
     */
    public FakeClients(
            EventLoop loop,
            TestbedClock clock,
            Checker checker,
            FakeFrontend frontend,
            List<RequestClass> classes,
            Retries retries,
            long slack,
            long seed,
            Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.frontend = frontend;
        this.classes = classes;
        this.retries = retries;
        this.slack = slack;
        this.random = new SplittableRandom(seed);
        this.listener = listener;
    }

    /** What a request costs, by its id; NaN if no client sent it. */
    public double workOf(String id) {
        return work.getOrDefault(id, Double.NaN);
    }

    /**
     * Begins to look at the balancers' health: evenly spread, since all at once make the lab late.
     */
    public void watchHealth() {
        long phase = 0;
        for (Map.Entry<String, InetSocketAddress> balancer : frontend.all().entrySet()) {
            loop.scheduleWithFixedDelay(
                    () -> checkHealth(balancer.getKey(), balancer.getValue()),
                    phase,
                    CHECK_MICROS,
                    TimeUnit.MICROSECONDS);
            phase += CHECK_MICROS / frontend.all().size();
        }
    }

    /** Sends these, each at its time after {@code from}; they are in the order of their times. */
    public void play(List<Arrival> arrivals, long from) {
        unfinished += arrivals.size();
        next(arrivals, 0, from);
    }

    /** Whether all that was to be sent has ended; on the lab's event loop only. */
    public boolean done() {
        return allSent && unfinished == 0;
    }

    private void next(List<Arrival> arrivals, int first, long from) {
        int i = first;
        for (; i < arrivals.size() && from + arrivals.get(i).at() <= clock.micros(); i++) {
            long late = clock.micros() - from - arrivals.get(i).at();
            new Story(arrivals.get(i), late).send();
        }
        allSent = i == arrivals.size();
        if (!allSent) {
            int following = i;
            loop.schedule(
                    () -> next(arrivals, following, from),
                    Math.max(0, from + arrivals.get(i).at() - clock.micros()),
                    TimeUnit.MICROSECONDS);
        }
    }

    private void checkHealth(String name, InetSocketAddress address) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/healthz");
        request.headers()
                .set(HttpHeaderNames.HOST, "front")
                .set(HttpHeaderNames.CONNECTION, "close");
        boolean[] good = new boolean[1];
        connect(
                        address,
                        new SimpleChannelInboundHandler<FullHttpResponse>() {
                            @Override
                            public void channelActive(ChannelHandlerContext ctx) {
                                ctx.writeAndFlush(request);
                            }

                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, FullHttpResponse answer) {
                                good[0] = answer.status().code() == 200;
                                ctx.close();
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        })
                .closeFuture()
                .addListener(f -> frontend.checked(clock.micros(), name, good[0]));
    }

    private Channel connect(
            InetSocketAddress address, SimpleChannelInboundHandler<FullHttpResponse> last) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_BODY),
                                                last);
                            }
                        })
                .connect(address)
                .channel();
    }

    /** One first try and what follows from it. */
    private final class Story {
        private final Arrival arrival;
        private final RequestClass cls;
        private final long begun = clock.micros();
        private final long late;
        private final long giveUp;
        private int attempts;
        private Attempt current;

        Story(Arrival arrival, long late) {
            this.arrival = arrival;
            this.cls = classes.get(arrival.classIndex());
            this.late = late;
            this.giveUp = begun - late + cls.giveUp();
        }

        void send() {
            attempts++;
            current = new Attempt(this, arrival.number() + "-" + attempts);
            current.go(true);
        }

        void ended(Outcome outcome, double retryAfter) {
            long now = clock.micros();
            boolean again = outcome == Outcome.REFUSED || outcome == Outcome.FAILED;
            long wait =
                    retryAfter > 0
                            ? (long) (retryAfter * 1e6)
                            : (long)
                                    (retries.backoff()
                                            * Math.pow(2, attempts - 1)
                                            * (0.5 + random.nextDouble()));
            if (again && attempts <= retries.most() && now + wait < giveUp) {
                loop.schedule(this::send, wait, TimeUnit.MICROSECONDS);
                return;
            }
            unfinished--;
            listener.ended(arrival, outcome, now - begun + late, attempts, late);
        }
    }

    /** One request with an id of its own. */
    private final class Attempt {
        private final Story story;
        private final String id;
        private final long deadline;
        private Connection connection;
        private ScheduledFuture<?> atEnd;
        private boolean over;

        Attempt(Story story, String id) {
            this.story = story;
            this.id = id;
            long patience = (long) (retries.attemptShare() * story.cls.giveUp());
            this.deadline = Math.min(story.giveUp, clock.micros() + patience);
        }

        /**
         * An idle connection may close as the request comes: then it goes out once more on a new
         * one.
         */
        void go(boolean first) {
            if (first) {
                work.put(id, story.arrival.work());
                checker.requestSent(id, story.cls.repeat(), story.cls.memory(), deadline);
                atEnd =
                        loop.schedule(
                                this::timeIsOver,
                                deadline + slack - clock.micros(),
                                TimeUnit.MICROSECONDS);
            }
            Connection kept = first ? idle.poll() : null;
            String balancer = kept == null ? frontend.next() : null;
            if (kept != null) {
                kept.write(this);
            } else if (balancer == null) {
                end(Outcome.FAILED, 0);
            } else {
                connection = new Connection(this, balancer);
                connection.channel = connect(frontend.all().get(balancer), connection);
                connection.channel.closeFuture().addListener(f -> connection.closed());
            }
        }

        FullHttpRequest message() {
            boolean get = story.cls.repeat() == Repeat.FREE;
            byte[] body = get ? new byte[0] : id.getBytes(StandardCharsets.UTF_8);
            FullHttpRequest m =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            get ? HttpMethod.GET : HttpMethod.POST,
                            "/" + story.cls.name() + "?key=" + story.arrival.key(),
                            Unpooled.wrappedBuffer(body));
            m.headers()
                    .set(HttpHeaderNames.HOST, "app.svc")
                    .set("X-Correlation-Id", id)
                    .set("X-Service-Class", story.cls.name())
                    .set("X-Time-Left-Ms", Math.max(0, (deadline - clock.micros()) / 1_000))
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (story.cls.repeat() == Repeat.KEYED) {
                m.headers().set("Idempotency-Key", "o" + story.arrival.number());
            }
            return m;
        }

        private void timeIsOver() {
            checker.checkDeadline(clock.micros(), id);
            if (connection != null) {
                connection.current = null;
                connection.channel.close();
            }
            end(Outcome.FAILED, 0);
        }

        void answered(FullHttpResponse answer) {
            int status = answer.status().code();
            long now = clock.micros();
            checker.responseReceived(
                    now,
                    id,
                    status != 200 ? null : answer.content().toString(StandardCharsets.UTF_8));
            if (status == 200) {
                end(
                        now <= story.begun - story.late + story.cls.aim()
                                ? Outcome.SERVED
                                : Outcome.LATE,
                        0);
            } else {
                String after = answer.headers().get(HttpHeaderNames.RETRY_AFTER);
                end(
                        status == 429 || status == 503 ? Outcome.REFUSED : Outcome.FAILED,
                        after == null ? 0 : Double.parseDouble(after));
            }
        }

        /**
         * The connection has ended; a reused one that had answered nothing yet was closed as we
         * wrote. A balancer that was killed may have sent the request on, so to send it again would
         * run it twice.
         */
        void cutOff(boolean reused, boolean excused) {
            if (reused) {
                go(false);
            } else {
                checker.connectionClosed(clock.micros(), id, excused);
                end(Outcome.FAILED, 0);
            }
        }

        private void end(Outcome outcome, double retryAfter) {
            if (!over) {
                over = true;
                atEnd.cancel(false);
                checker.requestAbandoned(id);
                story.ended(outcome, retryAfter);
            }
        }
    }

    /** A client's connection; it carries one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String balancer;
        private final int incarnation;
        private Channel channel;
        private Attempt current;
        private boolean connected;
        private int answers;

        Connection(Attempt first, String balancer) {
            this.current = first;
            this.balancer = balancer;
            this.incarnation = frontend.incarnation(balancer);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connected = true;
            if (current != null) {
                write(current);
            }
        }

        void write(Attempt t) {
            current = t;
            t.connection = this;
            channel.writeAndFlush(t.message())
                    .addListener(
                            f -> {
                                if (f.isSuccess()) {
                                    checker.requestAccepted(t.id);
                                }
                            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            Attempt t = current;
            current = null;
            answers++;
            if (HttpUtil.isKeepAlive(answer) && t != null) {
                idle.push(this);
            } else {
                channel.close();
            }
            if (t != null) {
                t.answered(answer);
            }
        }

        void closed() {
            idle.remove(this);
            if (current != null) {
                Attempt t = current;
                current = null;
                boolean killed = frontend.killed(balancer, incarnation);
                t.cutOff(answers > 0 && !killed, !connected || killed);
            }
        }

        /**
         * A reset ends the connection; what that means for a request is decided when it has closed.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
