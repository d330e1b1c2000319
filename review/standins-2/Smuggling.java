import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A client sends a request whose content looks like another request, with framing that RFC 9112 forbids. */
final class Smuggling {
    public static void main(String[] arguments) throws IOException {
        Lab.main(Path.of(arguments[0]), Smuggling::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.start(1, 1, Lab.config(7));
        for (int i = 0; i < 2; i++) {
            lab.new Upstream("wuno96b", 41 + i, 6, (request, out) -> {
                Lab.pause(30);
                out.write(Lab.success(request, "done".getBytes(StandardCharsets.US_ASCII)));
            });
        }
        lab.awaitService();
        Map<String, String> framings = new LinkedHashMap<>();
        framings.put("unknown coding (RFC 9112, 6.3: 400 and close)", "Transfer-Encoding: xchunked\r\n");
        framings.put("space before the colon (RFC 9112, 5.1: 400)", "Content-Length : LENGTH\r\n");
        framings.put("length and chunks (RFC 9112, 6.1: close after the answer)", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n");
        Set<String> sent = new LinkedHashSet<>();
        boolean broken = false;
        for (Map.Entry<String, String> framing : framings.entrySet()) {
            String outerId = Lab.id();
            String innerId = Lab.id();
            sent.add(outerId);
            String hidden = new String(Lab.head("POST", "/puxa403/hidden", Lab.clientHeaders(innerId, 3000), 0), StandardCharsets.ISO_8859_1);
            boolean chunks = framing.getValue().contains("chunked\r\n") && framing.getValue().contains("Content-Length:");
            String content = (chunks ? "0\r\n\r\n" : "") + hidden;
            String lines = lab.trouble ? framing.getValue().replace("LENGTH", "" + content.length()) : "Content-Length: " + content.length() + "\r\n";
            StringBuilder head = new StringBuilder("POST /puxa403/outer HTTP/1.1\r\n");
            Lab.clientHeaders(outerId, 3000).forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            String request = head + lines + "\r\n" + content;
            lab.note("client sends one request " + outerId + ", " + framing.getKey() + ": " + request.replace("\r\n", "|"));
            lab.received.clear();
            lab.note("client got " + exchange(lab, request));
            Lab.pause(200);
            for (Lab.Received ran : lab.received) {
                boolean asked = sent.contains(ran.id());
                broken |= !asked;
                lab.note("upstream " + ran.upstream.id + " ran " + ran.requestLine + " id " + ran.id() + ", body "
                        + new String(ran.body, StandardCharsets.ISO_8859_1).replace("\r\n", "|") + (asked ? "" : "  <-- no client sent a request with this id"));
            }
        }
        return broken ? Lab.BROKEN : Lab.HELD;
    }

    private static String exchange(Lab lab, String request) throws IOException {
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        String end = "closed";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(lab.balancers.get(0).ip, lab.frontPort), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                got.write(b);
            }
        } catch (SocketTimeoutException e) {
            end = "still open";
        }
        return got.toString(StandardCharsets.ISO_8859_1).replace("\r\n", "|") + " and the connection is " + end;
    }
}
