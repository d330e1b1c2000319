package myrtleladder.loadbalancer.policy;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The deploy file lists exactly the files of the decision module, and no class of the module does
 * I/O, reads a clock or starts a thread.
 */
class DecisionModuleTest {
    private static final String PACKAGE = "myrtleladder.loadbalancer.policy";
    private static final String FOLDER = "src/main/java/myrtleladder/loadbalancer/policy";

    private static final DescribedPredicate<JavaMethodCall> READING_A_CLOCK =
            DescribedPredicate.describe(
                    "reading a clock",
                    call ->
                            call.getTargetOwner().isEquivalentTo(System.class)
                                    && List.of("nanoTime", "currentTimeMillis")
                                            .contains(call.getTarget().getName()));

    private static final ArchRule NO_IO =
            noClasses()
                    .that()
                    .resideInAPackage(PACKAGE)
                    .should()
                    .dependOnClassesThat(
                            resideInAnyPackage(
                                    "java.io..",
                                    "java.nio..",
                                    "java.net..",
                                    "java.time..",
                                    "java.util.concurrent..",
                                    "java.util.logging.."));

    private static final ArchRule NO_THREADS =
            noClasses()
                    .that()
                    .resideInAPackage(PACKAGE)
                    .should()
                    .dependOnClassesThat()
                    .areAssignableTo(Thread.class);

    private static final ArchRule NO_CLOCK =
            noClasses().that().resideInAPackage(PACKAGE).should().callMethodWhere(READING_A_CLOCK);

    private static JavaClasses classes(ImportOption option) {
        return new ClassFileImporter().withImportOption(option).importPackages(PACKAGE);
    }

    @Test
    void deployFileListsEachFileOfTheModule() throws IOException {
        List<String> named = new ArrayList<>();
        new TomlMapper()
                .readTree(Path.of("deploy/balancer.toml").toFile())
                .path("policy")
                .forEach(file -> named.add(file.asText()));
        List<String> files;
        try (Stream<Path> folder = Files.list(Path.of(FOLDER))) {
            files = folder.map(file -> FOLDER + "/" + file.getFileName()).sorted().toList();
        }
        assertEquals(files, named.stream().sorted().toList());
    }

    @Test
    void decisionsDoNoIo() {
        NO_IO.check(classes(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS));
    }

    @Test
    void decisionsStartNoThreads() {
        NO_THREADS.check(classes(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS));
    }

    @Test
    void decisionsReadNoClock() {
        NO_CLOCK.check(classes(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS));
    }

    /** Shows that the I/O rule detects a violation: this test class itself does I/O. */
    @Test
    void ioRuleDetectsViolation() {
        assertThrows(
                AssertionError.class,
                () -> NO_IO.check(classes(ImportOption.Predefined.ONLY_INCLUDE_TESTS)));
    }
}
