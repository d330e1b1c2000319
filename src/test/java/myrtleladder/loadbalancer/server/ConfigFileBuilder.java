package myrtleladder.loadbalancer.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Builds the configuration file of a balancer under test. Numbers are in the units of the file;
 * times are in seconds.
 */
final class ConfigFileBuilder {
    private int sockets = 1024;
    private String idleTimeoutS = "10";
    private String reportSource = "silent";
    private int groupSize = 1;
    private String memorySpanS = "10";
    private String connectTimeoutS = "0.25";
    private String discoveryMode = "pushed";

    /** The limit of file descriptors. */
    ConfigFileBuilder sockets(int limit) {
        sockets = limit;
        return this;
    }

    /** The time after which upstreams close idle connections. */
    ConfigFileBuilder idleTimeoutS(String seconds) {
        idleTimeoutS = seconds;
        return this;
    }

    /** Source of load reports: {@code silent}, {@code pull} or {@code piggyback}. */
    ConfigFileBuilder reportSource(String source) {
        reportSource = source;
        return this;
    }

    /** The number of balancers in the group. */
    ConfigFileBuilder groupSize(int balancers) {
        groupSize = balancers;
        return this;
    }

    /** Time for which upstreams remember idempotency keys. */
    ConfigFileBuilder memorySpanS(String seconds) {
        memorySpanS = seconds;
        return this;
    }

    /** The connect timeout of connections to upstreams. */
    ConfigFileBuilder connectTimeoutS(String seconds) {
        connectTimeoutS = seconds;
        return this;
    }

    /** {@code pushed} or {@code on_request}. */
    ConfigFileBuilder discoveryMode(String mode) {
        discoveryMode = mode;
        return this;
    }

    /** Writes the file, with an initial endpoint list and the address of discovery. */
    Path write(Path file, String known, String discovery) throws IOException {
        return Files.writeString(
                file,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                        + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"sockets\":"
                        + sockets
                        + "},\"known\":"
                        + known
                        + ",\"settings\":"
                        + settings()
                        + "}");
    }

    private String settings() {
        return "{\"az\":0,\"localities\":[\"z\"],\"kinds\":[\"k\"],\"classes\":["
                + serviceClass("submit", "single_shot")
                + ","
                + serviceClass("revise", "guarded")
                + ","
                + serviceClass("look", "free")
                + "],\"parties\":[{\"name\":\"acme\",\"share\":1}],\"group-size\":"
                + groupSize
                + ",\"ceilings\":{\"try-limit\":4,\"cancel\":true,\"probes\":true,\"max-open\":100,"
                + "\"connect-timeout-s\":"
                + connectTimeoutS
                + ",\"conn-idle-s\":"
                + idleTimeoutS
                + "},\"rules\":{\"answer-slack-s\":0.02,\"drain-grace-s\":2,\"cold-s\":9,"
                + "\"start-capacity\":0.2,\"fall-multiple\":3,\"fall-s\":1},"
                + "\"report\":{\"names\":[\"cpu\"],\"via\":\""
                + reportSource
                + "\"},\"prices\":{},\"tick-s\":0.005,\"discovery\":\""
                + discoveryMode
                + "\"}";
    }

    private String serviceClass(String name, String repeat) {
        return "{\"name\":\""
                + name
                + "\",\"repeat\":\""
                + repeat
                + "\",\"dedup-scope\":\"zone\",\"memory-span-s\":"
                + memorySpanS
                + ",\"aim-s\":1,\"give-up-s\":20,\"worth\":1,\"late-worth\":0.5}";
    }
}
