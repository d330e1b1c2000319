package myrtleladder.loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the names of subsystems, which stay the same when packages are renamed. */
class SubsystemsTest {
    @ParameterizedTest
    @CsvSource({
        "myrtleladder.loadbalancer.server.Driver,node",
        "myrtleladder.loadbalancer.policy.Balance,decisions",
        "myrtleladder.gossip.Membership,fleet.member",
        "myrtleladder.testbed.Main,lab",
        "myrtleladder.testbed.process.BalancerFleet,lab.play",
        "io.netty.channel.Channel,io.netty.channel.Channel"
    })
    void aLoggerIsShownUnderItsSubsystem(String logger, String subsystem) {
        assertEquals(subsystem, Subsystems.forLogger(logger));
    }

    @Test
    void subsystemIncludesLoggersOfItsChildren() {
        assertEquals(
                Set.of(
                        "myrtleladder.gossip",
                        "myrtleladder.consensus",
                        "myrtleladder.maintenance",
                        "myrtleladder.cluster"),
                Set.copyOf(Subsystems.loggers("fleet")));
    }

    @Test
    void packageNameIsAccepted() {
        assertEquals(java.util.List.of("myrtleladder.gossip"), Subsystems.loggers("gossip"));
    }
}
