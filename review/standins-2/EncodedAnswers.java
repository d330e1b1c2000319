import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.GZIPOutputStream;

/** Upstreams answer with a Content-Encoding, and the client compares the bytes. */
final class EncodedAnswers {
    private static final String TEXT = "Certificate 4711: valid until the end of the year. ".repeat(8);

    public static void main(String[] arguments) throws IOException {
        Lab.main(Path.of(arguments[0]), EncodedAnswers::run);
    }

    private static byte[] encoded(String coding) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (OutputStream out = coding.equals("gzip") ? new GZIPOutputStream(bytes) : new DeflaterOutputStream(bytes)) {
            out.write(TEXT.getBytes(StandardCharsets.US_ASCII));
        }
        return bytes.toByteArray();
    }

    private static int run(Lab lab) throws Exception {
        lab.start(1, 1, Lab.config(7));
        for (int i = 0; i < 2; i++) {
            lab.new Upstream("wuno96b", 41 + i, 6, (request, out) -> {
                Lab.pause(30);
                String path = request.requestLine.split(" ")[1];
                String coding = path.substring(path.lastIndexOf('/') + 1);
                if (coding.equals("warm")) {
                    out.write(Lab.success(request, "done".getBytes(StandardCharsets.US_ASCII)));
                    return;
                }
                byte[] body = encoded(coding);
                String head = "HTTP/1.1 200 OK\r\nMyrtleladder-Attempt-Id: " + request.id() + "\r\nMyrtleladder-Upstream-Signature: sig."
                        + request.id() + "\r\n" + (lab.trouble ? "Content-Encoding: " + coding + "\r\n" : "") + "Content-Length: "
                        + body.length + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                lab.note("upstream " + request.upstream.id + " ran id " + request.id() + " and sent " + head.replace("\r\n", "|") + " and "
                        + body.length + " bytes " + hex(body));
            });
        }
        lab.awaitService();
        boolean broken = false;
        for (String coding : new String[] {"gzip", "deflate"}) {
            String id = Lab.id();
            byte[] sent = encoded(coding);
            Lab.Answer got = Lab.call(lab.balancers.get(0).ip, lab.frontPort, "POST", "/puxa403/" + coding, Lab.clientHeaders(id, 3000), new byte[0], 3000);
            boolean wrong = got.status >= 200 && got.status < 300 && got.complete && !Arrays.equals(got.body, sent);
            broken |= wrong;
            lab.note("client got for id " + id + " " + got + " " + hex(got.body) + (wrong ? "  <-- a success with another body than the upstream's" : ""));
        }
        return broken ? Lab.BROKEN : Lab.HELD;
    }

    private static String hex(byte[] bytes) {
        StringBuilder hex = new StringBuilder();
        for (int i = 0; i < Math.min(24, bytes.length); i++) {
            hex.append(String.format("%02x", bytes[i]));
        }
        return hex.append(bytes.length > 24 ? "..." : "").toString();
    }
}
