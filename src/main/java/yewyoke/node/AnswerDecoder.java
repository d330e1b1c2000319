package yewyoke.node;

import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Reads answers as the protocol has them. The library takes a header line with a blank and no colon for a
 * name without a value; such an answer can't be read, so it is no answer and must not be passed on.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    /** The name ends at the first colon or blank, so there is always a byte behind it. */
    @Override protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException("a header line without a name and a colon");
        }
        return super.splitHeaderName(line, start, length);
    }
}
