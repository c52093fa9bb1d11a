package org.cicadalead.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Arrays;
import java.util.List;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against event and error kinds that no production code uses. */
class CataloguesTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.cicadalead");

    @ParameterizedTest
    @ValueSource(classes = {EventKind.class, ErrorKind.class})
    void everyConstantIsUsedOutsideItsEnum(Class<? extends Enum<?>> catalogue) {
        JavaClass imported = CLASSES.get(catalogue);
        List<String> unused = Arrays.stream(catalogue.getEnumConstants())
                .map(Enum::name)
                .filter(name -> imported.getField(name).getAccessesToSelf().stream()
                        .allMatch(access -> access.getOriginOwner().equals(imported)))
                .toList();
        assertEquals(List.of(), unused);
    }
}
