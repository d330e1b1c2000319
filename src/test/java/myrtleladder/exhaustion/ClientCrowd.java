package myrtleladder.exhaustion;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Connections that send the same payload at the same time from one thread, and then stay open. They
 * never read, except to notice that the server closed a connection; a closed one is opened anew
 * until {@link #stopReconnecting}.
 */
final class ClientCrowd implements AutoCloseable {
    private static final long SELECT_MS = 50;
    private static final int NEVER_READS = 0;

    private final InetSocketAddress target;
    private final Payload payload;
    private final boolean noticesClose;
    private final Selector selector;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicInteger opened = new AtomicInteger();
    private volatile boolean isReconnecting = true;
    private volatile boolean isClosed;

    /** One connection and what it still has to send. */
    private static final class Client {
        private long step;
        private ByteBuffer pending;
    }

    private ClientCrowd(
            InetSocketAddress target, Payload payload, int connections, boolean noticesClose)
            throws IOException {
        this.target = target;
        this.payload = payload;
        this.noticesClose = noticesClose;
        selector = Selector.open();
        for (int i = 0; i < connections; i++) {
            open();
        }
        Thread thread = new Thread(this::run, "crowd");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts a crowd whose clients notice when their connection is closed. */
    static ClientCrowd start(InetSocketAddress target, Payload payload, int connections)
            throws IOException {
        return new ClientCrowd(target, payload, connections, true);
    }

    /** Starts a crowd whose clients read nothing, not even the end of the connection. */
    static ClientCrowd startUnread(InetSocketAddress target, Payload payload, int connections)
            throws IOException {
        return new ClientCrowd(target, payload, connections, false);
    }

    /** Returns how many connections were opened so far. */
    int opened() {
        return opened.get();
    }

    /** Leaves connections that the server closes from now on closed. */
    void stopReconnecting() {
        isReconnecting = false;
    }

    private void open() throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(target);
        channel.register(selector, SelectionKey.OP_CONNECT, new Client());
        opened.incrementAndGet();
    }

    private void run() {
        ByteBuffer ignored = ByteBuffer.allocate(16 * 1_024);
        try (selector) {
            while (!isClosed) {
                selector.select(SELECT_MS);
                for (SelectionKey key : selector.selectedKeys()) {
                    serve(key, ignored);
                }
                selector.selectedKeys().clear();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            ended.countDown();
        }
    }

    private void serve(SelectionKey key, ByteBuffer ignored) throws IOException {
        try {
            SocketChannel channel = (SocketChannel) key.channel();
            if (key.isConnectable()) {
                channel.finishConnect();
                key.interestOps(SelectionKey.OP_WRITE | readInterest());
            }
            if (key.isReadable() && channel.read(ignored.clear()) < 0) {
                throw new IOException("closed by the server");
            }
            if (key.isWritable()) {
                send(key, channel);
            }
        } catch (IOException e) {
            key.cancel();
            key.channel().close();
            if (isReconnecting && !isClosed) {
                open();
            }
        }
    }

    private int readInterest() {
        return noticesClose ? SelectionKey.OP_READ : NEVER_READS;
    }

    private void send(SelectionKey key, SocketChannel channel) throws IOException {
        Client client = (Client) key.attachment();
        if (client.pending == null || !client.pending.hasRemaining()) {
            client.pending = payload.step(client.step);
            client.step++;
        }
        if (client.pending == null) {
            key.interestOps(readInterest());
            return;
        }
        channel.write(client.pending);
    }

    /** Closes all connections and waits until they are closed. */
    @Override
    public void close() {
        isClosed = true;
        boolean isInterrupted = false;
        while (ended.getCount() > 0) {
            try {
                ended.await();
            } catch (InterruptedException e) {
                isInterrupted = true;
            }
        }
        if (isInterrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
