package org.cicadalead.architecture;

import com.tngtech.archunit.core.domain.JavaMethod;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import net.jqwik.api.Property;

/** Guards against property tests without a fixed seed, whose result could differ from run to run. */
@AnalyzeClasses(packages = "org.cicadalead", importOptions = ImportOption.OnlyIncludeTests.class)
class FixedSeedsTest {
    @ArchTest
    static final ArchRule EVERY_PROPERTY_HAS_A_FIXED_SEED = ArchRuleDefinition.methods()
            .that()
            .areAnnotatedWith(Property.class)
            .should(haveASeed())
            .allowEmptyShould(true);

    private static ArchCondition<JavaMethod> haveASeed() {
        return new ArchCondition<>("have a fixed seed, so that the result is the same on every run") {
            @Override
            public void check(JavaMethod method, ConditionEvents events) {
                String seed = method.getAnnotationOfType(Property.class).seed();
                if (seed.equals(Property.SEED_NOT_SET)) {
                    events.add(SimpleConditionEvent.violated(method, method.getFullName() + " has no seed"));
                }
            }
        };
    }
}
