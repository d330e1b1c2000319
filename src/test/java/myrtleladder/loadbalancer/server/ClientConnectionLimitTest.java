package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Client connections beyond the file descriptor limit, and connections without a complete request.
 */
class ClientConnectionLimitTest extends LoadBalancerFixture {
    /**
     * Only connections accepted beyond the limit are rejected. If all were rejected while there are
     * too many, no client would be served when many connect at once.
     */
    @Test
    void clientsBeyondTheLimitAreRejectedAndTheOthersServed() throws Exception {
        configFile.sockets(64 + 16); // room for 12 clients
        start(server(SERVE));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            clients.add(client()); // accepted in this order
        }
        assertEquals(503, clients.get(13).write(submit()).read().status());
        assertNull(clients.get(13).read());
        assertEquals(200, clients.get(11).write(submit()).read().status());
    }

    /** Guards against idle clients that use all descriptors, so that no upstream is reachable. */
    @Test
    void clientsFarBeyondTheLimitWaitToBeAccepted() throws Exception {
        configFile.sockets(64 + 4); // room for 3 clients
        start(server(SERVE));
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(client());
        }
        Client waiting = client().write(submit());
        assertEquals(200, silent.get(0).write(submit()).read().status());
        waiting.socket.setSoTimeout(
                100); // one that was accepted would mostly have its refusal by then
        assertThrows(SocketTimeoutException.class, waiting::read);
        waiting.socket.setSoTimeout(RawSockets.TIMEOUT_S * 1_000);
        for (Client c : silent) {
            c.close();
        }
        int status = waiting.read().status();
        assertTrue(
                status == 200 || status == 503, "served or refused, by how many have left by then");
    }

    /**
     * Guards against such connections holding their descriptors forever, until all other clients
     * are rejected.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /look?key=k1 HT",
                "POST /submit?key=k1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nb"
            })
    void connectionWithoutACompleteRequestIsClosed(String part) throws Exception {
        start(server(SERVE));
        assertNull(client().write(part).read());
    }

    @Test
    void connectionWithAnIncompleteLaterRequestIsClosed() throws Exception {
        start(server(SERVE));
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        assertNull(client.write("POST /submit").read());
    }

    /**
     * Closing a connection that looks idle can race with the next request on it, so the response
     * announces the close.
     */
    @Test
    void connectionsBeyondThoseKeptCloseWithTheirResponseAndIdleOnesStay() throws Exception {
        configFile.sockets(64 + 8); // room for 6 clients, 3 of them kept
        start(server(SERVE));
        List<Client> kept = List.of(client(), client(), client());
        for (Client c : kept) {
            assertNull(c.write(submit()).read().headers().get("connection"));
        }
        Client beyond = client().write(submit());
        Message answer = beyond.read();
        assertEquals(200, answer.status());
        assertEquals("close", answer.headers().get("connection"));
        assertNull(beyond.read());
        for (Client c : kept) {
            assertEquals(200, c.write(submit()).read().status());
        }
    }
}
