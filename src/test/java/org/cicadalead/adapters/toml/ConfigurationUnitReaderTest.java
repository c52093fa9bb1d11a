package org.cicadalead.adapters.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.junit.jupiter.api.Test;

class ConfigurationUnitReaderTest {
    private static final String UNIT_WITH_THREE_PROBLEMS =
            """
            [[zone]]
            name = "north"
            region = "island"

            [[host]]
            name = "north-1"
            zone = "north"
            rack = "r1"
            address = "127.0.0.1:9001"
            processors = 8
            memory-gigabytes = 16
            slotz = 4

            [[pool]]
            name = "first"
            hosts = ["north-1"]

            [[pool]]
            name = "second"
            spare = "yes"
            hosts = ["north-1"]
            """;

    @Test
    void reportsAllProblemsWithTheirPlaces() {
        List<ConfigurationProblem> problems = new ArrayList<>();
        ConfigurationUnit unit = ConfigurationUnitReader.read("unit.toml", UNIT_WITH_THREE_PROBLEMS, problems);
        problems.addAll(ConfigurationMerger.merge(List.of(unit)).problems());
        assertEquals(
                List.of("unit.toml:12:1", "unit.toml:20:1", "unit.toml:21:10"),
                problems.stream().map(problem -> problem.place().toString()).toList());
    }

    @Test
    void suggestsNearestKnownKey() {
        List<ConfigurationProblem> problems = new ArrayList<>();
        ConfigurationUnitReader.read("unit.toml", UNIT_WITH_THREE_PROBLEMS, problems);
        assertTrue(problems.get(0).advice().contains("'slots'"));
    }
}
