import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client sends text that is not ASCII, as RFC 9110 allows in field values, and targets with unusual parts. */
final class ChangedRequest {
    public static void main(String[] arguments) throws IOException {
        Lab.main(Path.of(arguments[0]), ChangedRequest::run);
    }

    private static String utf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
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
        Map<String, String[]> requests = new LinkedHashMap<>();
        requests.put("model name in UTF-8", new String[] {"/puxa403/2f", lab.trouble ? utf8("résumé-7b") : "resume-7b"});
        requests.put("prompt language in UTF-8", new String[] {"/puxa403/2f", lab.trouble ? utf8("বাংলা") : "bangla"});
        requests.put("empty query", new String[] {lab.trouble ? "/puxa403/2f?" : "/puxa403/2f?x", "m"});
        boolean broken = false;
        for (Map.Entry<String, String[]> entry : requests.entrySet()) {
            String target = entry.getValue()[0];
            String model = entry.getValue()[1];
            String id = Lab.id();
            Map<String, String> headers = Lab.clientHeaders(id, 3000);
            headers.put("Myrtleladder-Model", model);
            headers.put("Myrtleladder-Token-Usage", "100,10");
            lab.note("client sends " + entry.getKey() + ": POST " + target + ", id " + id + ", model " + bytes(model));
            lab.received.clear();
            Lab.Answer answer = Lab.call(lab.balancers.get(0).ip, lab.frontPort, "POST", target, headers, new byte[0], 3000);
            lab.note("client got " + answer);
            for (Lab.Received ran : lab.received) {
                String ranModel = ran.headers.getOrDefault("myrtleladder-model", "");
                boolean same = ran.requestLine.equals("POST " + target + " HTTP/1.1") && ranModel.equals(model);
                broken |= !same;
                lab.note("upstream " + ran.upstream.id + " ran " + ran.requestLine + " id " + ran.id() + ", model " + bytes(ranModel)
                        + (same ? "" : "  <-- not what the client sent"));
            }
        }
        return broken ? Lab.BROKEN : Lab.HELD;
    }

    private static String bytes(String text) {
        StringBuilder hex = new StringBuilder();
        for (char c : text.toCharArray()) {
            hex.append(c > ' ' && c < 127 ? "" + c : String.format("\\x%02x", (int) c));
        }
        return hex.toString();
    }
}
