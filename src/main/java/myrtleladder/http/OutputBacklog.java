package myrtleladder.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.TaskQueue;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * What was written to a connection and its socket has not taken yet. Its memory is the bytes that
 * wait and an overhead for each write that they belong to.
 *
 * <p>The library counts the bytes; its queue has no count of writes ({@link TaskQueue#size} returns
 * the bytes as well), so the overhead of each write is counted here until it is completed.
 *
 * <p>Threading: confined to the event loop.
 */
final class OutputBacklog {
    /** Memory of a waiting part of an answer besides its bytes: records of the library. */
    static final int BYTES_PER_PART = 768;

    /** Memory of the waiting end of an answer besides its bytes: also its request and its head. */
    static final int BYTES_PER_ANSWER = 2_560;

    private final Connection<?> connection;
    private final TaskQueue<?> queue;
    private long overheadBytes;

    OutputBacklog(Connection<?> connection) {
        this.connection = connection;
        this.queue = ((NIOConnection) connection).getAsyncWriteQueue();
    }

    /** Writes a packet; {@code onWritten} runs when the socket has taken all of it. */
    void write(HttpPacket packet, Runnable onWritten) {
        write(connection, packet, onWritten);
    }

    private <L> void write(Connection<L> target, HttpPacket packet, Runnable onWritten) {
        long waitingBefore = waitingBytes();
        Completion<L> completion = new Completion<>(overheadOf(packet), onWritten);
        overheadBytes += completion.overhead;
        target.write(packet, completion);
        boolean isQueued = waitingBytes() > waitingBefore;
        if (!isQueued && !completion.isEnded) { // the library drops content that HEAD excludes
            completion.completed(null);
        }
    }

    private static int overheadOf(HttpPacket packet) {
        boolean endsAnswer = packet instanceof HttpContent content && content.isLast();
        return endsAnswer ? BYTES_PER_ANSWER : BYTES_PER_PART;
    }

    /** Returns the bytes that wait. */
    long waitingBytes() {
        return queue.spaceInBytes();
    }

    /** Returns whether the socket has taken everything. */
    boolean isEmpty() {
        return waitingBytes() == 0;
    }

    /** Returns the memory of all that waits. */
    long heldBytes() {
        long waiting = waitingBytes();
        return waiting == 0 ? 0 : waiting + overheadBytes;
    }

    /** Ends the overhead of a write, whatever became of it. */
    private final class Completion<L> extends EmptyCompletionHandler<WriteResult<HttpPacket, L>> {
        private final int overhead;
        private final Runnable onWritten;
        private boolean isEnded;

        Completion(int overhead, Runnable onWritten) {
            this.overhead = overhead;
            this.onWritten = onWritten;
        }

        @Override
        public void completed(WriteResult<HttpPacket, L> result) {
            end();
            onWritten.run();
        }

        @Override
        public void cancelled() {
            end();
        }

        @Override
        public void failed(Throwable error) {
            end();
        }

        private void end() {
            isEnded = true;
            overheadBytes -= overhead;
        }
    }
}
