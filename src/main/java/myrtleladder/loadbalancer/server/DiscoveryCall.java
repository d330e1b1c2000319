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
 * One call to discovery, and the last handler of its pipeline: reads endpoint lists from the lines
 * of the response. A list is one line, or several where it comes indented; empty lines are
 * heartbeats.
 *
 * <p>Confined to the event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf> {
    private static final System.Logger LOG = System.getLogger(DiscoveryCall.class.getName());

    /** Longest line, and longest indented list, in bytes. */
    static final int MAX_LIST_BYTES = 4 << 20;

    /** Receives what a call reads, on the event loop. */
    interface Listener {
        /** A line has come, empty ones included. */
        void lineReceived();

        /** A list has come. */
        void listReceived(DiscoveryCall call, EndpointList list);

        /** A list has come that can't be parsed. */
        void malformedList(String reason);
    }

    private final Listener listener;
    private final JsonObjectAssembler assembler;

    /** Set before the call is made. */
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

    /** A list of this call has been taken over. */
    void listAccepted() {
        hasAcceptedList = true;
    }

    boolean hasAcceptedList() {
        return hasAcceptedList;
    }

    /** Ends this call since another one takes its place. */
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

    /** Closes the connection. What neither the network nor a timeout explains is logged. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof ReadTimeoutException)) {
            LOG.log(System.Logger.Level.ERROR, "closed a call to discovery after a failure", cause);
        }
        ctx.close();
    }
}
