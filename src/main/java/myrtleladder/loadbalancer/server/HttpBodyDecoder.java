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
 * Passes the body of a 200 response to a line decoder as it arrives. At the end of the body it adds
 * a line feed and closes the connection. Any other response closes the connection at once.
 *
 * <p>The next handler must release each buffer that it receives.
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
