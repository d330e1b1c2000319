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
 * Decodes HTTP/1.1 responses, exactly one for each request, stricter than the library's decoder in
 * two ways:
 *
 * <ul>
 *   <li>Bytes that come when no response is due are dropped and close the connection; kept, they
 *       would be taken for the response to the next request.
 *   <li>A header line without a colon right behind its name is an error (RFC 9112, 5.1), where the
 *       library takes the part before a blank for a name without a value.
 * </ul>
 */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {
    private boolean isResponseDue;
    private boolean isInterim;

    /** A request is about to be written. Call it on the event loop. */
    void expectResponse() {
        isResponseDue = true;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (!isResponseDue) {
            in.skipBytes(in.readableBytes());
            ctx.close();
            return;
        }
        int decodedBefore = out.size();
        super.decode(ctx, in, out);
        for (Object part : out.subList(decodedBefore, out.size())) {
            if (part instanceof HttpResponse head) {
                isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            isResponseDue &= isInterim || !(part instanceof LastHttpContent);
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The name ends at the first colon or blank, so there is always a byte behind it.
     *
     * @throws IllegalArgumentException if that byte is no colon, or the name is empty
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException("a header line without a name and a colon");
        }
        return super.splitHeaderName(line, start, length);
    }
}
