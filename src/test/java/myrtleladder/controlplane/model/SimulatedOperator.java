package myrtleladder.controlplane.model;

/**
 * An operator: it sends one change after the other, each again and again, unchanged, until the
 * answer is clear.
 */
final class SimulatedOperator {
    private static final long PAUSE = 400;
    private static final long FIRST_RETRY = 60;
    private static final long MOST_RETRY = 400;
    private static final long GIVES_UP = 12_000;
    private static final byte[] NO_BYTES = {};

    private final SimulatedCluster model;
    private final String name;
    private final ExternalClient calls;
    private long known;
    private int count;
    private OperatorChange order;
    private long orderedAt;
    private long retry;
    private double lostAcknowledgements;

    SimulatedOperator(SimulatedCluster model, String name) {
        this.model = model;
        this.name = name;
        this.calls = new ExternalClient(model, name);
    }

    /** Which share of the acknowledgements is lost on the way. */
    void loses(double share) {
        lostAcknowledgements = share;
    }

    /** Begins the next change. */
    void next() {
        long generation = known + 1 + model.random.nextInt(2);
        order = new OperatorChange(name + "-" + count++, known, generation);
        orderedAt = model.clock.now();
        retry = FIRST_RETRY;
        model.history.ordered(order);
        send();
        if (model.random.nextInt(4) == 0) {
            send(); // the same order at two nodes at once
        }
    }

    private void send() {
        OperatorChange sent = order;
        calls.call(
                calls.anyNode(),
                "PUT",
                "/config",
                sent.match(),
                sent.body(),
                answer -> answered(sent, answer));
    }

    private void answered(OperatorChange sent, SimulatedResponse answer) {
        boolean lost = model.random.nextDouble() < lostAcknowledgements;
        int status = answer == null || lost ? 0 : answer.status();
        if (status == 200) {
            model.history.acknowledged(sent, model.clock.now());
            known = Math.max(known, sent.generation());
        } else if (status == 412 || status == 400) {
            model.history.refused(sent, status);
        }
        if (sent != order) {
            return;
        }
        if (status == 200) {
            later();
        } else if (status == 412 || status == 400) {
            order = null;
            read();
        } else if (model.clock.now() - orderedAt > GIVES_UP) {
            order = null;
            read();
        } else {
            model.clock.schedule(retry, () -> sendAgain(sent));
            retry = Math.min(MOST_RETRY, retry * 2);
        }
    }

    private void sendAgain(OperatorChange sent) {
        if (sent == order) {
            send();
        }
    }

    private void later() {
        order = null;
        model.clock.schedule(PAUSE + model.random.nextInt(300), this::next);
    }

    /** Learns which generation is in force before it goes on. */
    private void read() {
        long bound = model.history.newest();
        calls.call(
                calls.anyNode(),
                "GET",
                "/config",
                -1,
                NO_BYTES,
                answer -> {
                    if (answer == null || answer.status() != 200) {
                        model.clock.schedule(MOST_RETRY, this::read);
                        return;
                    }
                    known = model.checkRead(answer.body(), bound, name);
                    next();
                });
    }
}
