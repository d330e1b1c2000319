package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need, on blocking sockets. */
final class Http {
    /** A message: its first line, its header fields (names in lower case) and its whole body. */
    static class Message {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.get(name);
        }
    }

    /** An answer. */
    static final class Answer extends Message {
        int status;
    }

    private Http() {}

    /** Makes one call on a new connection; null if no whole answer came in time. */
    static Answer call(
            String host,
            int port,
            String method,
            String path,
            String headers,
            String body,
            int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
            String request =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host + ":" + port + "\r\n"
                            + "Content-Type: application/json\r\n" + headers + length
                            + "Connection: close\r\n\r\n" + body;
            socket.getOutputStream().write(Fleet.ascii(request));
            socket.getOutputStream().flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }

    /** Reads an answer that has a length or comes in chunks. */
    static Answer readAnswer(InputStream in) throws IOException {
        Answer answer = new Answer();
        readHead(in, answer);
        String[] parts = answer.firstLine.split(" ", 3);
        if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
            throw new IOException("no answer: " + answer.firstLine);
        }
        answer.status = Integer.parseInt(parts[1]);
        answer.body = readBody(in, answer);
        return answer;
    }

    /** Reads a request; null at the end of the connection. */
    static Message readRequest(InputStream in) throws IOException {
        Message request = new Message();
        try {
            readHead(in, request);
        } catch (EOFException e) {
            return null;
        }
        request.body = readBody(in, request);
        return request;
    }

    private static void readHead(InputStream in, Message message) throws IOException {
        message.firstLine = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
                message.headers.put(name, line.substring(colon + 1).trim());
            }
        }
    }

    private static byte[] readBody(InputStream in, Message message) throws IOException {
        String encoding = message.header("transfer-encoding");
        if (encoding != null && encoding.equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                byte[] chunk = readExactly(in, size);
                body.write(chunk);
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = message.header("content-length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length.trim()));
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("cut off");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("cut off");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }
}
