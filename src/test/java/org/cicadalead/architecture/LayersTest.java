package org.cicadalead.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;

/** Guards the dependencies between layers, and keeps clocks, threads and randomness out of the model and the logic. */
@AnalyzeClasses(packages = "org.cicadalead", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
    private static final Set<String> IMPURE_TYPES = Set.of(
            "java.lang.Thread",
            "java.lang.Process",
            "java.lang.ProcessBuilder",
            "java.lang.Runtime",
            "java.time.Clock",
            "java.util.Timer",
            "java.util.UUID",
            "java.util.concurrent.ThreadLocalRandom");

    @ArchTest
    static final ArchRule MODEL_DEPENDS_ON_NO_OTHER_LAYER = classes()
            .that()
            .resideInAPackage("org.cicadalead.model..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "org.cicadalead.model..",
                    "org.pcollections..",
                    "org.jspecify..",
                    "java.lang..",
                    "java.math..",
                    "java.time..",
                    "java.util..");

    @ArchTest
    static final ArchRule LOGIC_DEPENDS_INWARD = classes()
            .that()
            .resideInAPackage("org.cicadalead.logic..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "org.cicadalead.model..",
                    "org.cicadalead.logic..",
                    "org.pcollections..",
                    "org.jspecify..",
                    "org.apache.commons.text.similarity..",
                    "java.lang..",
                    "java.math..",
                    "java.security..",
                    "java.time..",
                    "java.util..");

    @ArchTest
    static final ArchRule LOGIC_HAS_NO_CLOCK_THREAD_OR_RANDOMNESS = noClasses()
            .that()
            .resideInAnyPackage("org.cicadalead.logic..", "org.cicadalead.model..")
            .should()
            .dependOnClassesThat(describe("provide time, threads or randomness", LayersTest::isImpure));

    @ArchTest
    static final ArchRule LOGIC_READS_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage("org.cicadalead.logic..", "org.cicadalead.model..")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(java.time.Instant.class, "now");

    @ArchTest
    static final ArchRule PORTS_DEPEND_ON_THE_MODEL_ONLY = classes()
            .that()
            .resideInAPackage("org.cicadalead.ports..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("org.cicadalead.model..", "org.cicadalead.ports..", "org.jspecify..", "java..");

    @ArchTest
    static final ArchRule ADAPTERS_DO_NOT_DEPEND_ON_COMMAND_LINE = noClasses()
            .that()
            .resideInAPackage("org.cicadalead.adapters..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.cicadalead.cli..");

    @ArchTest
    static final ArchRule ONLY_COMMAND_LINE_DEPENDS_ON_PLATFORM_ADAPTER = noClasses()
            .that()
            .resideOutsideOfPackages("org.cicadalead.platform..", "org.cicadalead.cli..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.cicadalead.platform..");

    @ArchTest
    static final ArchRule PLATFORM_ADAPTER_DOES_NOT_DEPEND_ON_LOGIC = noClasses()
            .that()
            .resideInAPackage("org.cicadalead.platform..")
            .should()
            .dependOnClassesThat(describe(
                    "contain decision logic",
                    type -> type.getPackageName().startsWith("org.cicadalead.logic")
                            && !type.getSimpleName().equals("SchedulingTerms")));

    @ArchTest
    static final ArchRule NO_PROCESS_IS_STARTED =
            noClasses().should().dependOnClassesThat().haveFullyQualifiedName("java.lang.ProcessBuilder");

    private static boolean isImpure(JavaClass type) {
        return IMPURE_TYPES.contains(type.getName())
                || type.getPackageName().startsWith("java.util.concurrent.locks")
                || type.getName().startsWith("java.util.concurrent.Executor");
    }
}
