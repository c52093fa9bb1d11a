package org.cicadalead.adapters.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationFolderReaderTest {
    private static final String ZONE = "[[zone]]\nname = \"z\"\nregion = \"r\"\n";
    private static final String POOL = "[[pool]]\nname = \"p\"\nhosts = [\"one\"]\n";
    private static final String HOST =
            "[[host]]\nname = \"one\"\nzone = \"z\"\nrack = \"k\"\naddress = \"127.0.0.1:1\"\nprocessors = 1\n";

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(
            strings = {
                ZONE + POOL + HOST + "memory-gigabytes = \"four\"\n",
                ZONE + "[[pool]]\nname = 7\nhosts = [\"one\"]\n" + HOST + "memory-gigabytes = 4\n",
                "[[zone]]\nname = \"z\"\nregion = 4\n" + POOL + HOST + "memory-gigabytes = 4\n",
                ZONE + POOL + HOST + "memory-gigabytes = 4\nmemory-gigabytes = 4\n"
            })
    void reportsNoFollowUpProblemsForInvalidDefinition(String text) throws IOException {
        assertEquals(1, readProblems(text).size(), () -> readProblems(text).toString());
    }

    @Test
    void reportsUnresolvedReferenceNextToInvalidDefinition() throws IOException {
        String text =
                ZONE + "[[pool]]\nname = \"p\"\nhosts = [\"one\", \"two\"]\n" + HOST + "memory-gigabytes = \"four\"\n";
        assertEquals(2, readProblems(text).size(), () -> readProblems(text).toString());
    }

    private List<ConfigurationProblem> readProblems(String text) {
        try {
            Files.writeString(folder.resolve("unit.toml"), text);
        } catch (IOException failure) {
            throw new java.io.UncheckedIOException(failure);
        }
        return ConfigurationFolderReader.read(folder).problems();
    }
}
