package myrtleladder.loadbalancer.server;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.Idempotency;
import myrtleladder.loadbalancer.policy.Request;
import myrtleladder.loadbalancer.policy.RequestClass;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * Parses client requests from HTTP messages, with the classes and tenants of the settings.
 * Immutable; does not retain messages.
 */
final class RequestParser {
    static final String REQUEST_ID_HEADER = "X-Correlation-Id";
    private static final String CLASS_HEADER = "X-Service-Class";
    private static final String TENANT_HEADER = "X-Account";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String WORK_HINT_HEADER = "X-Weight-Hint";
    private static final String CLIENT_RETRY_HEADER = "X-Repeat";
    private static final String AFFINITY_KEY_PARAMETER = "key";

    private final SettingsReader.ParsedSettings settings;

    RequestParser(SettingsReader.ParsedSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns the id of a request.
     *
     * @throws InvalidInput if the request has no id
     */
    static String requestId(FullHttpRequest message) throws InvalidInput {
        String id = message.headers().get(REQUEST_ID_HEADER);
        require(id != null && !id.isEmpty(), REQUEST_ID_HEADER);
        return id;
    }

    /**
     * Parses a request.
     *
     * @param uri decoded URI of the message
     * @param waitedUs how long the request has been queued, in microseconds; subtracted from its
     *     remaining time
     * @throws InvalidInput with the name of the field, if a field is missing or malformed
     */
    Request parse(FullHttpRequest message, QueryStringDecoder uri, long waitedUs)
            throws InvalidInput {
        HttpHeaders headers = message.headers();
        int classIndex = settings.classes().indexOf(headers.get(CLASS_HEADER));
        require(classIndex >= 0, CLASS_HEADER);
        RequestClass requestClass = settings.balancer().classes().get(classIndex);
        Idempotency idempotency = requestClass.idempotency();
        HttpMethod method =
                idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        require(message.method().equals(method), "method");
        // Without the key, upstreams can't detect a retry.
        require(
                idempotency != Idempotency.IDEMPOTENT_BY_KEY
                        || headers.contains(IDEMPOTENCY_KEY_HEADER),
                IDEMPOTENCY_KEY_HEADER);
        int tenant = tenantIndex(headers);
        require(tenant >= 0, TENANT_HEADER);
        long defaultTimeLeftMs = requestClass.timeoutUs() / 1_000;
        long timeLeftUs =
                parseNumber(headers, RequestDispatcher.TIME_LEFT_HEADER, defaultTimeLeftMs) * 1_000;
        long workHint = parseNumber(headers, WORK_HINT_HEADER, 0);
        List<String> keys = uri.parameters().get(AFFINITY_KEY_PARAMETER);
        return new Request(
                requestId(message),
                classIndex,
                tenant,
                keys == null ? null : keys.get(0),
                workHint,
                Math.max(0, timeLeftUs - waitedUs),
                idempotency != Idempotency.IDEMPOTENT,
                "1".equals(headers.get(CLIENT_RETRY_HEADER)));
    }

    /** Returns the tenant's index; negative if the settings have tenants, but not this one. */
    private int tenantIndex(HttpHeaders headers) {
        List<String> tenants = settings.tenants();
        return tenants.isEmpty() ? 0 : tenants.indexOf(headers.get(TENANT_HEADER));
    }

    private static long parseNumber(HttpHeaders headers, String name, long defaultValue)
            throws InvalidInput {
        String text = headers.get(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            int number = Integer.parseInt(text.trim());
            require(number >= 0, name);
            return number;
        } catch (NumberFormatException e) {
            throw new InvalidInput("bad " + name);
        }
    }

    /**
     * Checks a field of a request.
     *
     * @throws InvalidInput with the name of the field, if it is not valid
     */
    static void require(boolean isValid, String field) throws InvalidInput {
        if (!isValid) {
            throw new InvalidInput("bad or missing " + field);
        }
    }
}
