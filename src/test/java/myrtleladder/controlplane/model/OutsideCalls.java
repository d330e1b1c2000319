package myrtleladder.controlplane.model;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;

/** How a caller from outside reaches control nodes: it follows redirects and gives up in time. */
final class OutsideCalls {
    private static final long PATIENCE = 1_000;
    private static final int MOST_REDIRECTS = 2;
    private static final int REDIRECT = 307;

    private final ControlModel model;
    private final String caller;

    OutsideCalls(ControlModel model, String caller) {
        this.model = model;
        this.caller = caller;
    }

    /** Any node that the caller has on its list. */
    ModelNode anyNode() {
        List<ModelNode> nodes = model.listedNodes();
        return nodes.get(model.random.nextInt(nodes.size()));
    }

    /** Calls a node; the answer is null if none came in time. */
    void call(
            ModelNode node,
            String method,
            String path,
            long match,
            byte[] body,
            Consumer<ModelAnswer> answered) {
        Headers headers = new Headers();
        if (match >= 0) {
            headers.add("If-Match", Long.toString(match));
        }
        send(node, new RequestHead(method, path, headers), body, MOST_REDIRECTS, answered);
    }

    private void send(
            ModelNode node,
            RequestHead head,
            byte[] body,
            int redirects,
            Consumer<ModelAnswer> answered) {
        boolean[] told = {false};
        Consumer<ModelAnswer> once =
                answer -> {
                    if (!told[0]) {
                        told[0] = true;
                        follow(answer, head, body, redirects, answered);
                    }
                };
        model.clock.schedule(PATIENCE, () -> once.accept(null));
        model.network.carry(
                caller,
                node.address,
                () ->
                        node.handle(
                                head,
                                body,
                                answer ->
                                        model.network.carry(
                                                node.address, caller, () -> once.accept(answer))));
    }

    private void follow(
            ModelAnswer answer,
            RequestHead head,
            byte[] body,
            int redirects,
            Consumer<ModelAnswer> answered) {
        ModelNode next =
                answer != null && answer.status() == REDIRECT && redirects > 0
                        ? model.nodeAt(answer.location())
                        : null;
        if (next == null) {
            answered.accept(answer);
        } else {
            send(next, head, body, redirects - 1, answered);
        }
    }
}
