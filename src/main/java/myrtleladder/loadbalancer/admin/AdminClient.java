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

/** Asks the admin server of a process. */
final class AdminClient {
    /** Longer than the admin server waits for its event loop. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final HttpClient http = HttpClient.newHttpClient();
    private final String address;

    /** Asks the process whose {@code admin.listen} is at an address and port. */
    AdminClient(String address) {
        this.address = address;
    }

    /**
     * The answer to a path; empty where the process has no such part.
     *
     * @throws OperatorError if the address is none, nobody answers or the process is too busy
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
