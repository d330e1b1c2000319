package yewyoke.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A build of the program: its folder, and the command that starts one balancer there. */
public record Build(Path home, List<String> command) {

    /** The build in a folder, started as the platform would: by {@code run} of its deploy file. */
    public static Build in(Path home) throws IOException {
        Path deploy = home.resolve("deploy/balancer.toml");
        JsonNode run = new TomlMapper().readTree(Files.readString(deploy)).path("run");
        if (!run.isTextual()) {
            throw new IOException(deploy + ": run: is missing");
        }
        Path jar = home.resolve("target/yewyoke.jar");
        if (!Files.exists(jar)) {
            throw new IOException(jar + " is missing: build it first");
        }
        return new Build(home.toAbsolutePath(), List.of("/bin/sh", "-c", run.asText()));
    }
}
