package myrtleladder.controlplane.model;

import java.nio.charset.StandardCharsets;

/**
 * An upstream that registers, lives for a while, leaves with an acknowledgement, and is followed.
 */
final class SimulatedUpstream {
    private static final long HEARTBEAT = 1_200;
    private static final long RETRY = 100;
    private static final int LIVES_FOR = 3_000;
    private static final byte[] NO_BYTES = {};

    private final SimulatedCluster model;
    private final String name;
    private final ExternalClient calls;
    private int incarnation;
    private int sequence;
    private long leavesAt;
    private boolean leavesUntold;

    SimulatedUpstream(SimulatedCluster model, String name) {
        this.model = model;
        this.name = name;
        this.calls = new ExternalClient(model, name);
    }

    /** Starts the next incarnation. */
    void start() {
        incarnation++;
        sequence = 0;
        leavesAt = model.clock.now() + 1_000 + model.random.nextInt(LIVES_FOR);
        leavesUntold = model.random.nextInt(3) == 0;
        heartbeat();
    }

    private String id() {
        return name + "-" + incarnation;
    }

    private void heartbeat() {
        if (model.clock.now() >= leavesAt) {
            if (leavesUntold) {
                call("DELETE", NO_BYTES, this::gone);
            } else {
                call("PUT", body("draining"), this::draining);
            }
            return;
        }
        call("PUT", body("ready"), () -> {});
        model.clock.schedule(HEARTBEAT, this::heartbeat);
    }

    private byte[] body(String state) {
        String text =
                "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"capacity\":8,"
                        + "\"state\":\""
                        + state
                        + "\",\"sequence\":"
                        + ++sequence
                        + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void draining() {
        model.history.departed(id(), model.clock.now());
        model.clock.schedule(2 * HEARTBEAT, () -> call("DELETE", NO_BYTES, this::gone));
    }

    private void gone() {
        model.history.departed(id(), model.clock.now());
        model.clock.schedule(HEARTBEAT, this::start);
    }

    /** Calls one node after the other until one acknowledges; a heartbeat is not repeated. */
    private void call(String method, byte[] body, Runnable acknowledged) {
        boolean leaves = model.clock.now() >= leavesAt;
        calls.call(
                calls.anyNode(),
                method,
                "/instances/" + id(),
                -1,
                body,
                answer -> {
                    if (answer != null && answer.status() == 200) {
                        acknowledged.run();
                    } else if (leaves) {
                        model.clock.schedule(RETRY, () -> call(method, body, acknowledged));
                    }
                });
    }
}
