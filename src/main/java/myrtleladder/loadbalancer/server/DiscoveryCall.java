package myrtleladder.loadbalancer.server;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.ReadTimeoutException;
import java.io.IOException;
import myrtleladder.error.OperatorError.InvalidInput;

/**
 * One call to discovery, and the last handler of its pipeline. Reads endpoint lists from the lines
 * of the response: a list takes one line, or several lines if it is indented. Empty lines are
 * heartbeats.
 *
 * <p>Confined to the event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf> {
    private static final System.Logger LOG = System.getLogger(DiscoveryCall.class.getName());

    /** Maximum size of a line and of an indented list, in bytes. */
    static final int MAX_LIST_BYTES = 4 << 20;

    /** Receives the results of a call, on the event loop. */
    interface Listener {
        /** Called for each line, including empty ones. */
        void lineReceived();

        /** Called for each valid list. */
        void listReceived(DiscoveryCall call, EndpointList list);

        /** Called for each list that can't be parsed. */
        void malformedList(String reason);
    }

    private final Listener listener;
    private final JsonObjectAssembler assembler;

    /** Set before the connection is established. */
    private Channel channel;

    private boolean hasAcceptedList;
    private boolean isSuperseded;

    DiscoveryCall(Listener listener) {
        this.listener = listener;
        this.assembler =
                new JsonObjectAssembler(
                        MAX_LIST_BYTES, () -> listener.malformedList("a list that was not closed"));
    }

    void setChannel(Channel channel) {
        this.channel = channel;
    }

    Channel channel() {
        return channel;
    }

    /** Records that a list of this call was applied. */
    void listAccepted() {
        hasAcceptedList = true;
    }

    boolean hasAcceptedList() {
        return hasAcceptedList;
    }

    /** Closes this call because another one replaces it. */
    void supersede() {
        isSuperseded = true;
        channel.close();
    }

    boolean isSuperseded() {
        return isSuperseded;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
        listener.lineReceived();
        byte[] complete = assembler.add(ByteBufUtil.getBytes(line));
        if (complete != null && complete.length > 0) {
            parse(complete);
        }
    }

    private void parse(byte[] bytes) {
        EndpointList list;
        try (JsonParser json = BalancerConfig.JSON.createParser(bytes)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInput("not a JSON object");
            }
            list = EndpointList.read(json);
        } catch (InvalidInput e) {
            listener.malformedList(e.description());
            return;
        } catch (IOException e) {
            listener.malformedList(e.getMessage());
            return;
        }
        listener.listReceived(this, list);
    }

    /** Closes the connection; logs exceptions that are neither I/O errors nor timeouts. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof ReadTimeoutException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed a call to discovery after an unexpected exception",
                    cause);
        }
        ctx.close();
    }
}
