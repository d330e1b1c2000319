package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests that are rejected because of their content. */
class MalformedRequestTest extends LoadBalancerFixture {
    @ParameterizedTest
    @CsvSource({
        "X-Service-Class: submit,X-Service-Class: none",
        "X-Account: acme,X-Account: nobody",
        "X-Time-Left-Ms: 9000,X-Time-Left-Ms: soon",
        "X-Time-Left-Ms: 9000,X-Time-Left-Ms: -1",
        "X-Account: acme,X-Account: acme|X-Weight-Hint: 1e9",
        "POST,GET",
        "X-Correlation-Id,X-Other",
        "submit,revise",
        "HTTP/1.1,HTTP/x",
        "/submit?,/sub%zz?",
        "key=k1,key=%zz"
    })
    void malformedRequestIsAnswered400(String good, String bad) throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        assertEquals(
                400,
                client().write(submit().replace(good, bad.replace("|", "\r\n"))).read().status());
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(1, upstream.requests.size());
    }

    /**
     * After a malformed header the decoder skips all further input, so the connection can't be
     * reused.
     */
    @ParameterizedTest
    @CsvSource({
        "X-Account: acme,X-Acc\\u0001ount: acme",
        "Content-Length: 3||bid,Transfer-Encoding: chunked||zz|"
    })
    void connectionIsClosedAfterARequestThatCannotBeDecoded(String good, String bad)
            throws Exception {
        start(server(SERVE));
        Client client =
                client().write(
                                submit().replace(
                                                good.replace("|", "\r\n"),
                                                bad.replace("\\u0001", "\u0001")
                                                        .replace("|", "\r\n")));
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    @Test
    void bodyBeyondTheLimitIsAnswered413() throws Exception {
        start(server(SERVE));
        assertEquals(
                413,
                client().write(submit().replace("Length: 3", "Length: 65537")).read().status());
    }
}
