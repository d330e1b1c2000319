package myrtleladder.loadbalancer.simulator;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * The fields of an event of any kind; each is commented with its name on the wire. An absent
 * string, list or object is null, an absent number is NaN, and an absent flag is false, except for
 * {@link #isConcluded}, which is null. Filled by {@link EventReader}; confined to the adapter's
 * thread.
 */
final class SimulatorEvent {
    /** {@code kind}. */
    String kind;

    /** {@code who}: the instance that the event is for. */
    double instance = Double.NaN;

    /** {@code init-seed}, rounded to a double; NaN if the field is missing. */
    double seed = Double.NaN;

    /** Low 64 bits of {@code init-seed}. */
    long seedBits;

    /** {@code facts}: the settings of a new instance. */
    SettingsReader.ParsedSettings settings;

    /** {@code corr}: request identifier. */
    String requestId;

    /** {@code upstream}. */
    String upstream;

    /** {@code attempt}: number of the attempt within its request. */
    double attempt = Double.NaN;

    /** {@code ending}: ordinal of an {@code Outcome}. */
    double outcome = Double.NaN;

    /** {@code took-s}: duration in seconds. */
    double durationS = Double.NaN;

    /** {@code last}: whether the request is concluded. */
    Boolean isConcluded;

    /** {@code feedback}: values of a load report, in the order of the names in the settings. */
    double[] loadValues;

    /** {@code is-write}. */
    boolean isWrite;

    /** {@code is-retry}. */
    boolean isRetry;

    /** {@code effort-s}: hint of the expected work in seconds. */
    double expectedWorkS = Double.NaN;

    /** {@code time-budget-s}: time until the deadline in seconds. */
    double timeToDeadlineS = Double.NaN;

    /** {@code lane}: index of the request class. */
    double classIndex = Double.NaN;

    /** {@code party}: index of the tenant. */
    double tenant = Double.NaN;

    /** {@code entity}: affinity key. */
    String affinityKey;

    /** {@code ctx}: token of a timer. */
    String timerToken;

    /** {@code form}: kind of the upstream list. */
    String endpointListForm;

    /** {@code elements}. */
    List<Upstream> upstreams;

    /** {@code from}: the balancer that sent a peer message. */
    double peer = Double.NaN;

    /** {@code body}: a peer message as hexadecimal digits. */
    String peerMessage;
}
