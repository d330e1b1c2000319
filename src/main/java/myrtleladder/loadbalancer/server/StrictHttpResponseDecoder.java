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
 * Decodes HTTP/1.1 responses, exactly one for each request. It is stricter than Netty's decoder in
 * two ways:
 *
 * <ul>
 *   <li>Bytes received when no response is expected are discarded and close the connection.
 *       Otherwise they would be read as the response to the next request.
 *   <li>A header line without a colon directly after the name is an error (RFC 9112, 5.1). Netty
 *       would accept the part before a blank as a name without a value.
 * </ul>
 */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {
    private boolean isResponseExpected;
    private boolean isInterim;

    /** Must be called on the event loop before each request is written. */
    void expectResponse() {
        isResponseExpected = true;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (!isResponseExpected) {
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
            isResponseExpected &= isInterim || !(part instanceof LastHttpContent);
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The name ends at the first colon or blank, so a byte always follows it.
     *
     * @throws IllegalArgumentException if that byte is not a colon, or the name is empty
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException(
                    "header line does not start with a name and a colon");
        }
        return super.splitHeaderName(line, start, length);
    }
}
