package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * Answers one HTTP/1.1 request (RFC 9112) per connection and then closes the connection. Every
 * method except POST is handled as GET. The superclass releases the request.
 */
final class AdminHttpHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final AdminRequestRouter router;

    AdminHttpHandler(AdminRequestRouter router) {
        this.router = router;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request)
            throws JsonProcessingException {
        AdminResponse response =
                request.method().equals(HttpMethod.POST)
                        ? router.post(
                                request.uri(), request.content().toString(StandardCharsets.UTF_8))
                        : router.get(request.uri());
        write(ctx, response);
    }

    private static void write(ChannelHandlerContext ctx, AdminResponse response) {
        DefaultFullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        response.status(),
                        Unpooled.copiedBuffer(response.body(), StandardCharsets.UTF_8));
        message.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, response.contentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, "close");
        ctx.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Closes the connection without logging, whatever the cause: a client may disconnect at any
     * time.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
