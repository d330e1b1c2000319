package myrtleladder.loadbalancer.simulator;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * The fields of one event, whatever its kind. A text, list or object that is absent is null, a
 * number NaN, a flag false. Filled by {@link EventReader}; confined to the adapter's thread.
 */
final class SimulatorEvent {
    /** {@code kind}. */
    String kind;

    /** {@code who}: the instance that the event is for. */
    double instance = Double.NaN;

    /** {@code init-seed}, as far as a double has it; tells whether it is there. */
    double seed = Double.NaN;

    /** {@code init-seed}, its low 64 bits. */
    long seedBits;

    /** {@code facts}: the settings of a new instance. */
    SettingsReader.ParsedSettings settings;

    /** {@code corr}. */
    String requestId;

    /** {@code upstream}. */
    String upstream;

    /** {@code attempt}: the number of the attempt in its request. */
    double attempt = Double.NaN;

    /** {@code ending}: the ordinal of an outcome. */
    double outcome = Double.NaN;

    /** {@code took-s}, in seconds. */
    double tookS = Double.NaN;

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

    /** {@code time-budget-s}, in seconds. */
    double timeLeftS = Double.NaN;

    /** {@code lane}. */
    double classIndex = Double.NaN;

    /** {@code party}. */
    double tenant = Double.NaN;

    /** {@code entity}. */
    String affinityKey;

    /** {@code ctx}. */
    String timerToken;

    /** {@code form}: what the list of upstreams is. */
    String listForm;

    /** {@code elements}. */
    List<Upstream> upstreams;

    /** {@code from}: the balancer that sent a peer message. */
    double peer = Double.NaN;

    /** {@code body} of a peer message, in hexadecimal digits. */
    String peerMessage;
}
