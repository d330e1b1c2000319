package myrtleladder.loadbalancer.server;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import myrtleladder.error.OperatorError.BadInput;
import myrtleladder.loadbalancer.policy.Balancer.Effect;
import myrtleladder.loadbalancer.policy.Balancer.Request;
import myrtleladder.loadbalancer.policy.Balancer.RequestClass;
import myrtleladder.loadbalancer.settings.SettingsReader;

/** Reads a client's request from its HTTP message, as the settings name classes and tenants. */
final class RequestParser {
    private static final String REQUEST_ID = "X-Correlation-Id";
    private static final String SERVICE_CLASS = "X-Service-Class";
    private static final String TENANT = "X-Account";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String WORK_HINT = "X-Weight-Hint";
    private static final String CLIENT_RETRY = "X-Repeat";
    private static final String KEY = "key";

    private final SettingsReader.ParsedSettings facts;

    RequestParser(SettingsReader.ParsedSettings facts) {
        this.facts = facts;
    }

    /** The request's id; every request has one. */
    static String id(FullHttpRequest message) throws BadInput {
        String id = message.headers().get(REQUEST_ID);
        require(id != null && !id.isEmpty(), REQUEST_ID);
        return id;
    }

    /**
     * Reads a request that has waited here for so many microseconds; they are taken from its time.
     */
    Request read(FullHttpRequest message, QueryStringDecoder uri, long waited) throws BadInput {
        HttpHeaders headers = message.headers();
        int classIndex = facts.classes().indexOf(headers.get(SERVICE_CLASS));
        require(classIndex >= 0, SERVICE_CLASS);
        RequestClass requestClass = facts.settings().classes().get(classIndex);
        Effect effect = requestClass.effect();
        require(
                message.method().equals(effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST),
                "method");
        // Without the key upstreams couldn't drop a repeat.
        require(effect != Effect.KEYED || headers.contains(IDEMPOTENCY_KEY), IDEMPOTENCY_KEY);
        int tenant = facts.tenants().isEmpty() ? 0 : facts.tenants().indexOf(headers.get(TENANT));
        require(tenant >= 0, TENANT);
        long timeLeft =
                number(headers, BalancerRuntime.TIME_LEFT, requestClass.giveUp() / 1_000) * 1_000;
        long hint = number(headers, WORK_HINT, 0);
        List<String> keys = uri.parameters().get(KEY);
        return new Request(
                id(message),
                classIndex,
                tenant,
                keys == null ? null : keys.get(0),
                hint,
                Math.max(0, timeLeft - waited),
                effect != Effect.SAFE,
                "1".equals(headers.get(CLIENT_RETRY)));
    }

    private static long number(HttpHeaders headers, String name, long otherwise) throws BadInput {
        String text = headers.get(name);
        if (text == null) {
            return otherwise;
        }
        try {
            int number = Integer.parseInt(text.trim());
            require(number >= 0, name);
            return number;
        } catch (NumberFormatException e) {
            throw new BadInput("bad " + name);
        }
    }

    static void require(boolean good, String what) throws BadInput {
        if (!good) {
            throw new BadInput("bad or missing " + what);
        }
    }
}
