package myrtleladder.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where the internal protocol of this process listens, and where it calls others: the section
 * {@code internal} of the settings file, for processes behind address translation or a proxy.
 * Immutable.
 *
 * <p>Members are named by their own address, {@code ip} with the first port, whatever is set here.
 *
 * @param listen {@code internal.listen}; default the process's own address
 * @param callAddresses {@code internal.call}: by the own address of another process, as HOST:PORT,
 *     the one at which this process calls it; empty by default
 */
public record InternalNetwork(Address listen, Map<String, String> callAddresses) {
    /** Copies the map. */
    public InternalNetwork {
        callAddresses = Map.copyOf(callAddresses);
    }

    /** The network of a process that listens at its own address and calls others at theirs. */
    public static InternalNetwork direct(Address own) {
        return new InternalNetwork(own, Map.of());
    }

    /**
     * Reads and checks the section.
     *
     * @param section the section, which may be missing
     * @param own the process's own address
     * @throws SettingsException if an address can't be parsed
     */
    static InternalNetwork read(JsonNode section, Address own) {
        JsonNode listen = section.path("listen");
        Map<String, String> callAddresses = new LinkedHashMap<>();
        section.path("call")
                .fields()
                .forEachRemaining(
                        entry ->
                                callAddresses.put(
                                        Address.parse("internal.call", entry.getKey()).toString(),
                                        Address.parse("internal.call", entry.getValue().asText())
                                                .toString()));
        return new InternalNetwork(
                listen.isMissingNode() ? own : Address.parse("internal.listen", listen.asText()),
                callAddresses);
    }

    /** Returns the address at which another process is called. */
    public String callAddress(String ownAddress) {
        return callAddresses.getOrDefault(ownAddress, ownAddress);
    }
}
