package myrtleladder;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Packages depend one way: a core knows no carrier, and nobody knows who is built on top of him.
 */
class PackagesTest {
    private static final JavaClasses PROGRAM =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("myrtleladder");

    /** Each package with all that it may use, the platform's own apart. */
    @ParameterizedTest
    @CsvSource({
        "myrtleladder.loadbalancer.policy,",
        "myrtleladder.error,",
        "myrtleladder.toml,myrtleladder.error com.fasterxml.jackson..",
        "myrtleladder.loadbalancer.admin,myrtleladder.error myrtleladder.toml"
                + " myrtleladder.loadbalancer.server myrtleladder.testbed myrtleladder.cluster"
                + " myrtleladder.gossip myrtleladder.consensus myrtleladder.maintenance picocli"
                + " io.netty.. io.micrometer.. com.fasterxml.jackson.. org.apache.logging.log4j..",
        "myrtleladder.loadbalancer.settings,myrtleladder.loadbalancer.policy myrtleladder.error"
                + " com.fasterxml.jackson.core..",
        "myrtleladder.loadbalancer.simulator,myrtleladder.loadbalancer.policy myrtleladder.error"
                + " myrtleladder.loadbalancer.settings com.fasterxml.jackson.core..",
        "myrtleladder.testbed.fault,",
        "myrtleladder.gossip,com.fasterxml.jackson.core..",
        "myrtleladder.consensus,com.fasterxml.jackson.core..",
        "myrtleladder.maintenance,myrtleladder.consensus com.fasterxml.jackson.core..",
        "myrtleladder.cluster,myrtleladder.gossip myrtleladder.consensus myrtleladder.maintenance "
                + "io.netty..",
        "myrtleladder.testbed.simulation,myrtleladder.testbed.fault",
        "myrtleladder.testbed.checker,",
        "myrtleladder.testbed.proxy,myrtleladder.testbed.fault io.netty..",
        "myrtleladder.testbed.fake,myrtleladder.testbed.checker io.netty.."
                + " com.fasterxml.jackson.core..",
        "myrtleladder.testbed.process,myrtleladder.error myrtleladder.testbed.fault"
            + " myrtleladder.testbed.proxy myrtleladder.testbed.checker myrtleladder.testbed.fake"
            + " io.netty.. com.fasterxml.jackson.core..",
        "myrtleladder.signal,",
        "myrtleladder.result,",
        "myrtleladder.scheduler,",
        "myrtleladder.eventloop,myrtleladder.result myrtleladder.scheduler org.glassfish.grizzly.."
                + " org.apache.logging.log4j..",
        "myrtleladder.http,myrtleladder.result myrtleladder.eventloop org.glassfish.grizzly..",
        "myrtleladder.protocol,myrtleladder.result io.protostuff..",
        "myrtleladder.configuration,myrtleladder.result com.dslplatform.json..",
        "myrtleladder.replication,myrtleladder.scheduler myrtleladder.protocol"
                + " org.apache.logging.log4j..",
        "myrtleladder.tally,myrtleladder.scheduler myrtleladder.protocol myrtleladder.replication"
                + " org.apache.logging.log4j..",
        "myrtleladder.heartbeat,myrtleladder.scheduler myrtleladder.protocol"
                + " myrtleladder.replication",
        "myrtleladder.rpc,myrtleladder.result myrtleladder.scheduler myrtleladder.eventloop"
                + " myrtleladder.http myrtleladder.protocol myrtleladder.replication",
        "myrtleladder.process,myrtleladder.result com.fasterxml.jackson.. org.apache.commons.cli",
        "myrtleladder.controlplane,myrtleladder.result myrtleladder.scheduler"
                + " myrtleladder.eventloop myrtleladder.http myrtleladder.protocol"
                + " myrtleladder.configuration myrtleladder.replication myrtleladder.tally"
                + " myrtleladder.rpc myrtleladder.process myrtleladder.signal org.mapdb.. kotlin.."
                + " org.apache.logging.log4j.. org.apache.commons.cli",
        "myrtleladder.dataplane,myrtleladder.loadbalancer.policy myrtleladder.result"
            + " myrtleladder.scheduler myrtleladder.eventloop myrtleladder.http"
            + " myrtleladder.protocol myrtleladder.configuration myrtleladder.replication"
            + " myrtleladder.heartbeat myrtleladder.rpc myrtleladder.process myrtleladder.signal"
            + " org.apache.logging.log4j.. org.apache.commons.cli",
        "myrtleladder.testbed.experiment,myrtleladder.error myrtleladder.testbed.fault"
            + " myrtleladder.testbed.checker myrtleladder.testbed.fake myrtleladder.testbed.process"
            + " myrtleladder.toml com.fasterxml.jackson.. org.HdrHistogram org.jfree.."
    })
    void aPackageUsesNoMoreThanIsSaid(String name, String others) {
        String[] allowed = ("java.. " + name + (others == null ? "" : " " + others)).split(" ");
        classes()
                .that()
                .resideInAPackage(name)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(allowed)
                .check(PROGRAM);
    }

    @Test
    void ofTheNodeOnlyTheCommandLineKnowsTheAdapter() {
        noClasses()
                .that()
                .resideInAPackage("myrtleladder.loadbalancer.server")
                .and()
                .doNotHaveSimpleName("Main")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("myrtleladder.loadbalancer.simulator")
                .check(PROGRAM);
    }

    /** The platform's start: neither the lab nor the command line, nor a library of theirs. */
    @Test
    void whatServesKnowsNoMoreThanItNeeds() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "myrtleladder.loadbalancer.policy",
                        "myrtleladder.loadbalancer.server..",
                        "myrtleladder.loadbalancer.simulator..",
                        "myrtleladder.loadbalancer.settings..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "myrtleladder.testbed..",
                        "myrtleladder.loadbalancer.admin..",
                        "myrtleladder.toml..",
                        "myrtleladder.cluster..",
                        "myrtleladder.gossip..",
                        "myrtleladder.consensus..",
                        "myrtleladder.maintenance..",
                        "myrtleladder.result..",
                        "myrtleladder.scheduler..",
                        "myrtleladder.eventloop..",
                        "myrtleladder.http..",
                        "myrtleladder.controlplane..",
                        "myrtleladder.dataplane..",
                        "picocli..",
                        "com.fasterxml.jackson.databind..",
                        "io.micrometer..",
                        "org.HdrHistogram..",
                        "org.jfree..",
                        "org.apache.logging..")
                .check(PROGRAM);
    }

    @Test
    void onlyTheCommandLineKnowsTheLab() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "myrtleladder.testbed..", "myrtleladder.loadbalancer.admin")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("myrtleladder.testbed..")
                .check(PROGRAM);
    }

    @Test
    void noTwoPackagesNeedEachOther() {
        slices().matching("myrtleladder.(**)").should().beFreeOfCycles().check(PROGRAM);
    }
}
