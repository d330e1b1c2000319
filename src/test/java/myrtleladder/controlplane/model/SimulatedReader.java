package myrtleladder.controlplane.model;

/** Somebody who reads the configuration at any node, cut off or not. */
final class SimulatedReader {
    private static final long PAUSE = 350;
    private static final byte[] NO_BYTES = {};

    private final SimulatedCluster model;
    private final ExternalClient calls;

    SimulatedReader(SimulatedCluster model) {
        this.model = model;
        this.calls = new ExternalClient(model, "reader");
    }

    void read() {
        model.clock.schedule(PAUSE + model.random.nextInt(100), this::read);
        long bound = model.history.newest();
        SimulatedNode node = calls.anyNode();
        calls.call(
                node,
                "GET",
                "/config",
                -1,
                NO_BYTES,
                answer -> {
                    if (answer != null && answer.status() == 200) {
                        model.checkRead(answer.body(), bound, "read at " + node.address);
                    } else if (answer != null && answer.status() == 404 && bound > 0) {
                        model.history.fault("no configuration at " + node.address);
                    }
                });
    }
}
