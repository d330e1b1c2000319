package myrtleladder.loadbalancer.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Passes on the body of a 200 response as it comes, for a decoder of lines: its end is passed on as
 * the end of a line, and closes the connection. Any other response closes the connection at once.
 *
 * <p>Each buffer that is passed on has a reference of its own, for the next handler to release.
 */
final class HttpBodyDecoder extends MessageToMessageDecoder<HttpObject> {
    private static final int OK = 200;

    HttpBodyDecoder() {
        super(HttpObject.class);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) {
        if ((part instanceof HttpResponse response && response.status().code() != OK)
                || part.decoderResult().isFailure()) {
            ctx.close();
            return;
        }
        if (part instanceof HttpContent content && ctx.channel().isActive()) {
            out.add(content.content().retain());
            if (part instanceof LastHttpContent) {
                out.add(Unpooled.wrappedBuffer(new byte[] {'\n'}));
                ctx.executor().execute(ctx::close);
            }
        }
    }
}
