package yewyoke;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Packages depend one way: a core knows no carrier, and nobody knows who is built on top of him. */
class PackagesTest {
    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("yewyoke");

    /** Each package with all that it may use, the platform's own apart. */
    @ParameterizedTest
    @CsvSource({"yewyoke,", "yewyoke.error,", "yewyoke.toml,yewyoke.error com.fasterxml.jackson..",
        "yewyoke.command,yewyoke.error yewyoke.toml yewyoke.node yewyoke.lab yewyoke.fleet.. "
                + "picocli "
        + "io.netty.. io.micrometer.. com.fasterxml.jackson.. org.apache.logging.log4j..",
        "yewyoke.settings,yewyoke yewyoke.error com.fasterxml.jackson.core..",
        "yewyoke.adapter,yewyoke yewyoke.error yewyoke.settings com.fasterxml.jackson.core..",
        "yewyoke.lab.fault,",
        "yewyoke.fleet.member,com.fasterxml.jackson.core..",
        "yewyoke.fleet.agree,com.fasterxml.jackson.core..",
        "yewyoke.fleet.work,yewyoke.fleet.agree com.fasterxml.jackson.core..",
        "yewyoke.fleet.carrier,yewyoke.fleet.member yewyoke.fleet.agree yewyoke.fleet.work "
                + "io.netty..",
        "yewyoke.lab.virtual,yewyoke.lab.fault", "yewyoke.lab.check,",
        "yewyoke.lab.relay,yewyoke.lab.fault io.netty..",
        "yewyoke.lab.stand,yewyoke.lab.check io.netty.. com.fasterxml.jackson.core..",
        "yewyoke.lab.play,yewyoke.error yewyoke.lab.fault yewyoke.lab.relay yewyoke.lab.check "
        + "yewyoke.lab.stand io.netty.. "
        + "com.fasterxml.jackson.core..",
        "yewyoke.signal,",
        "yewyoke.io,org.glassfish.grizzly.. org.apache.logging.log4j..",
        "yewyoke.message,yewyoke.io io.protostuff..",
        "yewyoke.configuration,yewyoke.io com.dslplatform.json..",
        "yewyoke.replication,yewyoke.io yewyoke.message org.apache.logging.log4j..",
        "yewyoke.membership,yewyoke.io yewyoke.message yewyoke.replication",
        "yewyoke.rpc,yewyoke.io yewyoke.message yewyoke.replication",
        "yewyoke.process,yewyoke.io com.fasterxml.jackson.. org.apache.commons.cli",
        "yewyoke.control,yewyoke.io yewyoke.message yewyoke.configuration "
                + "yewyoke.replication yewyoke.rpc "
        + "yewyoke.process yewyoke.signal org.mapdb.. kotlin.. org.apache.logging.log4j.. "
        + "org.apache.commons.cli",
        "yewyoke.dataplane,yewyoke yewyoke.io yewyoke.message yewyoke.configuration "
                + "yewyoke.replication "
        + "yewyoke.membership yewyoke.rpc yewyoke.process yewyoke.signal "
        + "org.apache.logging.log4j.. org.apache.commons.cli",
        "yewyoke.lab.experiment,yewyoke.error yewyoke.lab.fault yewyoke.lab.check "
                + "yewyoke.lab.stand "
        + "yewyoke.lab.play "
        + "yewyoke.toml com.fasterxml.jackson.. org.HdrHistogram org.jfree.."})
    void aPackageUsesNoMoreThanIsSaid(String name, String others) {
        String[] allowed = ("java.. " + name + (others == null ? "" : " " + others)).split(" ");
        classes().that().resideInAPackage(name).should().onlyDependOnClassesThat()
                .resideInAnyPackage(allowed).check(PROGRAM);
    }

    @Test
    void ofTheNodeOnlyTheCommandLineKnowsTheAdapter() {
        noClasses().that().resideInAPackage("yewyoke.node").and().doNotHaveSimpleName("Main")
                .should().dependOnClassesThat().resideInAPackage("yewyoke.adapter").check(PROGRAM);
    }

    /** The platform's start: neither the lab nor the command line, nor a library of theirs. */
    @Test
    void whatServesKnowsNoMoreThanItNeeds() {
        noClasses().that().resideInAnyPackage("yewyoke", "yewyoke.node..", "yewyoke.adapter..",
                "yewyoke.settings..").should().dependOnClassesThat().resideInAnyPackage("yewyoke.lab..",
                "yewyoke.command..", "yewyoke.toml..",
                "yewyoke.fleet..", "yewyoke.io..", "yewyoke.control..",
                "yewyoke.dataplane..", "picocli..", "com.fasterxml.jackson.databind..",
                "io.micrometer..", "org.HdrHistogram..", "org.jfree..",
                "org.apache.logging..").check(PROGRAM);
    }

    @Test
    void onlyTheCommandLineKnowsTheLab() {
        noClasses().that().resideOutsideOfPackages("yewyoke.lab..", "yewyoke.command").should()
                .dependOnClassesThat().resideInAPackage("yewyoke.lab..").check(PROGRAM);
    }

    @Test
    void noTwoPackagesNeedEachOther() {
        slices().matching("yewyoke.(*)..").should().beFreeOfCycles().check(PROGRAM);
    }
}
