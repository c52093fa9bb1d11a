package org.cicadalead.architecture;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Assertions;

class LayersTest {
    @Property(tries = 3)
    void resolves(@ForAll int number) {
        Assertions.assertNotNull(new StressOptions());
    }
}
