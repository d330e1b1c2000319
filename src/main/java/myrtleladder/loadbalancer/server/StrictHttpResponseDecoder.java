package myrtleladder.loadbalancer.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Reads answers as the protocol has them, one for each request written. The library takes a header
 * line with a blank and no colon for a name without a value; such an answer can't be read, so it is
 * no answer and must not be passed on. And what comes when no answer is due, were it kept, would
 * answer the next request.
 */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {
    private boolean due;
    private boolean interim;

    /** A request is about to be written. */
    void expect() {
        due = true;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (!due) {
            in.skipBytes(in.readableBytes());
            ctx.close();
            return;
        }
        int before = out.size();
        super.decode(ctx, in, out);
        for (Object part : out.subList(before, out.size())) {
            if (part instanceof HttpResponse head) {
                interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            due &= interim || !(part instanceof LastHttpContent);
        }
    }

    /** The name ends at the first colon or blank, so there is always a byte behind it. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException("a header line without a name and a colon");
        }
        return super.splitHeaderName(line, start, length);
    }
}
