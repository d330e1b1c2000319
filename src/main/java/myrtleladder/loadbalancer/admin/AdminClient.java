package myrtleladder.loadbalancer.admin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.InvalidOption;
import myrtleladder.error.OperatorError.PeerOverloaded;
import myrtleladder.error.OperatorError.ProcessUnreachable;

/** HTTP client for the admin server of one process. */
final class AdminClient {
    /** Longer than {@link EventLoopQueries} waits, so that a busy process can still answer 503. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final HttpClient http = HttpClient.newHttpClient();
    private final String address;

    /**
     * Creates a client.
     *
     * @param address {@code admin.listen} of the process, as {@code 127.0.0.1:9464}
     */
    AdminClient(String address) {
        this.address = address;
    }

    /**
     * Gets a path and blocks until the response arrives. Returns its body, or empty if the process
     * answers 404, that is, has the requested component not configured.
     *
     * @throws OperatorError if the address is invalid, the process is unreachable, or its status is
     *     neither 200 nor 404
     */
    Optional<String> get(String path) throws OperatorError, InterruptedException {
        HttpResponse<String> response = send(path);
        return switch (response.statusCode()) {
            case OK -> Optional.of(response.body());
            case NOT_FOUND -> Optional.empty();
            default -> throw new PeerOverloaded(address, response.body().trim());
        };
    }

    private HttpResponse<String> send(String path) throws OperatorError, InterruptedException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(TIMEOUT)
                            .build();
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IllegalArgumentException e) {
            throw new InvalidOption(
                    "--at", address + " is not an address and port as 127.0.0.1:9464");
        } catch (IOException e) {
            throw new ProcessUnreachable(address, e);
        }
    }
}
