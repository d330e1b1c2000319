package myrtleladder.cluster;

import java.util.List;
import java.util.Map;
import myrtleladder.consensus.FencingToken;

/**
 * What a process knows of the maintenance of machines, for operators. The names of the components
 * are the keys of the JSON object that {@code GET /work} answers, so they stay when the types
 * behind them are renamed.
 *
 * @param jobs all maintenance jobs
 * @param halted why maintenance is halted, null if it is not
 * @param safe whether an operator has declared it safe to go on
 * @param leave whether this process holds a permit to send
 * @param registered whether the fleet knows of this process
 * @param gone processes that are declared ended
 * @param refusals why plans were rejected, by plan
 * @param refused number of datagrams dropped, by reason
 */
public record MaintenanceStatus(
        List<JobStatus> jobs,
        String halted,
        boolean safe,
        boolean leave,
        boolean registered,
        List<String> gone,
        Map<String, String> refusals,
        Map<String, Long> refused) {

    /**
     * A maintenance job.
     *
     * @param permit null if it has none
     * @param waits what it waits for, null if for nothing
     */
    public record JobStatus(
            String machine,
            String plan,
            String state,
            PermitStatus permit,
            long until,
            boolean reserved,
            String waits,
            String why) {
        /** A status of the types of the protocol; {@code permit} is null if there is none. */
        public JobStatus(
                String machine,
                String plan,
                String state,
                FencingToken permit,
                long until,
                boolean reserved,
                String waits,
                String why) {
            this(
                    machine,
                    plan,
                    state,
                    permit == null ? null : new PermitStatus(permit.epoch(), permit.index()),
                    until,
                    reserved,
                    waits,
                    why);
        }
    }

    /** The fencing token of a permit. */
    public record PermitStatus(long epoch, long index) {}
}
