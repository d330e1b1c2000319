package myrtleladder.controlplane.model;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;

/** An HTTP client of the control nodes that follows redirects and has a timeout. */
final class ExternalClient {
    /** Marks a request without {@code If-Match}. */
    static final long NO_IF_MATCH = -1;

    private static final long TIMEOUT_MS = 1_000;
    private static final int MAX_REDIRECTS = 2;
    private static final int TEMPORARY_REDIRECT = 307;

    private final SimulatedCluster cluster;
    private final String name;

    ExternalClient(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
    }

    /** A random node of the platform's list. */
    SimulatedNode anyNode() {
        List<SimulatedNode> nodes = cluster.nodes();
        return nodes.get(cluster.random.nextInt(nodes.size()));
    }

    /** Sends a request; the responder gets null if no response arrives in time. */
    void call(
            SimulatedNode node,
            String method,
            String path,
            long ifMatch,
            byte[] body,
            Consumer<SimulatedResponse> responder) {
        Headers headers = new Headers();
        if (ifMatch != NO_IF_MATCH) {
            headers.add("If-Match", Long.toString(ifMatch));
        }
        new Call(new RequestHead(method, path, headers), body, responder).send(node, MAX_REDIRECTS);
    }

    /** A request with all its redirects. */
    private final class Call {
        private final RequestHead head;
        private final byte[] body;
        private final Consumer<SimulatedResponse> responder;

        Call(RequestHead head, byte[] body, Consumer<SimulatedResponse> responder) {
            this.head = head;
            this.body = body;
            this.responder = responder;
        }

        void send(SimulatedNode node, int redirectsLeft) {
            boolean[] isDone = {false};
            Consumer<SimulatedResponse> first =
                    response -> {
                        if (!isDone[0]) {
                            isDone[0] = true;
                            follow(response, redirectsLeft);
                        }
                    };
            cluster.clock.schedule(TIMEOUT_MS, () -> first.accept(null));
            cluster.network.carry(
                    name,
                    node.address,
                    () -> node.handle(head, body, response -> carryBack(node, response, first)));
        }

        private void carryBack(
                SimulatedNode node, SimulatedResponse response, Consumer<SimulatedResponse> first) {
            cluster.network.carry(node.address, name, () -> first.accept(response));
        }

        private void follow(SimulatedResponse response, int redirectsLeft) {
            boolean isRedirect =
                    response != null
                            && response.status() == TEMPORARY_REDIRECT
                            && redirectsLeft > 0;
            SimulatedNode next = isRedirect ? cluster.nodeAtLocation(response.location()) : null;
            if (next == null) {
                responder.accept(response);
            } else {
                send(next, redirectsLeft - 1);
            }
        }
    }
}
