import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Random;

/** Clients read long answers on kept connections, as fast as they come. */
final class LongAnswers {
    private static final int LONG_BYTES = 4_100_000;
    private static final int SHORT_BYTES = 1_000_000;
    private static final int REQUESTS = 8;
    private static final int ALLOWED = 3;
    private static final long DEADLINE_MS = 10_000;

    public static void main(String[] arguments) throws IOException {
        Lab.main(Path.of(arguments[0]), LongAnswers::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.start(1, 1, Lab.config(7));
        byte[] body = new byte[lab.trouble ? LONG_BYTES : SHORT_BYTES];
        new Random(7).nextBytes(body);
        for (int i = 0; i < 2; i++) {
            lab.new Upstream("wuno96b", 41 + i, 6, (request, out) -> {
                Lab.pause(30);
                boolean asksForLong = request.requestLine.contains("/long");
                out.write(Lab.success(request, asksForLong ? body : "done".getBytes()));
                out.flush();
                lab.note("upstream " + request.upstream.id + " ran id " + request.id() + " and has sent its whole answer");
            });
        }
        lab.awaitService();
        int cut = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = Lab.id();
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(lab.balancers.get(0).ip, lab.frontPort), 1000);
                socket.setSoTimeout((int) DEADLINE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                OutputStream out = socket.getOutputStream();
                out.write(Lab.head("POST", "/puxa403/first", Lab.clientHeaders(Lab.id(), DEADLINE_MS), 0));
                lab.note("client got " + Lab.read(in) + " and keeps the connection");
                long sentAtMs = lab.ms();
                out.write(Lab.head("POST", "/puxa403/long", Lab.clientHeaders(id, DEADLINE_MS), 0));
                lab.note("client sent POST /puxa403/long id " + id + ", deadline " + DEADLINE_MS + " ms");
                Lab.Answer answer;
                try {
                    answer = Lab.read(in);
                } catch (IOException e) {
                    answer = new Lab.Answer();
                }
                long tookMs = lab.ms() - sentAtMs;
                boolean whole = answer.complete && (answer.status != 200 || Arrays.equals(answer.body, body));
                cut += whole ? 0 : 1;
                lab.note("client has " + answer + " after " + tookMs + " ms" + (whole ? "" : "  <-- the connection ended before the whole answer"));
            }
        }
        lab.note(cut + " of " + REQUESTS + " connections ended without a whole answer; the rule allows " + ALLOWED);
        return cut > ALLOWED ? Lab.BROKEN : Lab.HELD;
    }
}
