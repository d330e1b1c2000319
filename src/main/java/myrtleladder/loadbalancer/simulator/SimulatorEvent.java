package myrtleladder.loadbalancer.simulator;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * The fields of an event of any kind; the comment of each begins with its name on the wire. An
 * absent string, list or object is null, an absent number is NaN, and an absent flag is false; the
 * exceptions are {@link #isConcluded}, which is null, and {@link #seedBits}, which is 0. Filled by
 * {@link EventReader}; confined to the adapter's thread.
 */
final class SimulatorEvent {
    /** {@code kind}: type of the event; decides which of the other fields are used. */
    String kind;

    /** {@code who}: the instance that the event is for. */
    double instance = Double.NaN;

    /** {@code init-seed}, rounded to a double; NaN shows that the field is missing. */
    double seed = Double.NaN;

    /**
     * {@code init-seed} as an integer, of which only the low 64 bits are kept. A number written
     * with a fraction or an exponent is converted from {@link #seed}.
     */
    long seedBits;

    /** {@code facts}: the settings of a new instance. */
    SettingsReader.ParsedSettings settings;

    /** {@code corr}: request identifier. */
    String requestId;

    /** {@code upstream}: identifier of the upstream of an attempt or a probe. */
    String upstream;

    /** {@code attempt}: number of the attempt within its request. */
    double attempt = Double.NaN;

    /** {@code ending}: ordinal of an {@code Outcome}. */
    double outcome = Double.NaN;

    /** {@code took-s}: duration of the attempt in seconds. */
    double durationS = Double.NaN;

    /** {@code last}: whether the request is concluded with this attempt. */
    Boolean isConcluded;

    /**
     * {@code feedback}: values of a load report, in the order of the report names in the settings.
     */
    double[] loadValues;

    /** {@code is-write}: whether the request changes data. */
    boolean isWrite;

    /** {@code is-retry}: whether the client marked the request as a retry. */
    boolean isRetry;

    /** {@code effort-s}: hint of the expected work in seconds. */
    double expectedWorkS = Double.NaN;

    /** {@code time-budget-s}: time until the client gives up, in seconds. */
    double timeToDeadlineS = Double.NaN;

    /** {@code lane}: index of the request class. */
    double classIndex = Double.NaN;

    /** {@code party}: index of the tenant. */
    double tenant = Double.NaN;

    /** {@code entity}: idempotency and affinity key. */
    String affinityKey;

    /** {@code ctx}: token of a timer. */
    String timerToken;

    /** {@code form}: name of the kind of endpoint list, which {@link EventDispatcher} looks up. */
    String endpointListForm;

    /** {@code elements}: entries of the endpoint list. */
    List<Upstream> upstreams;

    /** {@code from}: number of the balancer that sent a peer message. */
    double peer = Double.NaN;

    /** {@code body}: a peer message as hexadecimal digits. */
    String peerMessage;
}
