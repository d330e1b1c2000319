package myrtleladder.testbed.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.InvalidConfigurationFile;
import myrtleladder.error.OperatorError.MissingBuild;

/** A build of the program: its folder, and the command that starts one balancer there. */
public record ProgramBuild(Path home, List<String> command) {

    /** The build in a folder, started as the platform would: by {@code run} of its deploy file. */
    public static ProgramBuild in(Path home) throws OperatorError {
        Path deploy = home.resolve("deploy/balancer.toml");
        JsonNode run;
        try {
            run = new TomlMapper().readTree(Files.readString(deploy)).path("run");
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationFile(
                    deploy,
                    e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                    "",
                    e.getOriginalMessage());
        } catch (IOException e) {
            throw new MissingBuild(deploy, "is missing or can't be read");
        }
        if (!run.isTextual()) {
            throw new InvalidConfigurationFile(deploy, 0, "run", "is missing");
        }
        Path jar = home.resolve("target/myrtleladder-loadbalancer.jar");
        if (!Files.exists(jar)) {
            throw new MissingBuild(jar, "is missing");
        }
        return new ProgramBuild(home.toAbsolutePath(), List.of("/bin/sh", "-c", run.asText()));
    }
}
