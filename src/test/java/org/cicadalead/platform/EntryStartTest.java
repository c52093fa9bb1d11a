package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cicadalead.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EntryStartTest {
    /** Trusted certificates, and the mappers of the product's own records. */
    private static final List<String> NEEDLESS_CLASSES =
            List.of("sun.security.ssl.TrustManagerFactoryImpl", "org.cicadalead.adapters.codec.DomainMappers");

    @Test
    void entryLoadsNeitherCertificatesNorMappersThatItDoesNotUse(@TempDir Path folder)
            throws IOException, InterruptedException {
        Path loadedClasses = folder.resolve("classes.log");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx160m",
                        "-Xlog:class+load:file=" + loadedClasses,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "warm-up")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("output.log").toFile())
                .start();
        try {
            assertEquals(true, process.waitFor(60, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
        assertEquals(0, process.exitValue(), Files.readString(folder.resolve("output.log")));
        try (Stream<String> lines = Files.lines(loadedClasses)) {
            List<String> needless = lines.filter(
                            line -> NEEDLESS_CLASSES.stream().anyMatch(name -> line.contains(name + " ")))
                    .toList();
            assertEquals(List.of(), needless);
        }
    }
}
