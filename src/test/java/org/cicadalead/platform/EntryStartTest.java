package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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

    /** Threads of two entry processes, their loopback platform and the virtual machine. */
    private static final int MAX_STARTED_THREADS = 100;

    @TempDir
    Path folder;

    @Test
    void entryLoadsNeitherCertificatesNorMappersThatItDoesNotUse() throws IOException, InterruptedException {
        Path loadedClasses = folder.resolve("classes.log");
        runWarmUp("-Xlog:class+load:file=" + loadedClasses);
        try (Stream<String> lines = Files.lines(loadedClasses)) {
            List<String> needless = lines.filter(
                            line -> NEEDLESS_CLASSES.stream().anyMatch(name -> line.contains(name + " ")))
                    .toList();
            assertEquals(List.of(), needless);
        }
    }

    @Test
    void startsNoThreadForEachResponseOnHostWithOneProcessor() throws IOException, InterruptedException {
        Path threads = folder.resolve("threads.log");
        runWarmUp("-XX:ActiveProcessorCount=1", "-Xlog:os+thread:file=" + threads);
        try (Stream<String> lines = Files.lines(threads)) {
            long startedThreads =
                    lines.filter(line -> line.contains("Thread is alive")).count();
            assertTrue(startedThreads > 0 && startedThreads < MAX_STARTED_THREADS, startedThreads + " threads");
        }
    }

    private void runWarmUp(String... options) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(options));
        command.addAll(
                List.of("-Xmx160m", "-cp", System.getProperty("java.class.path"), Main.class.getName(), "warm-up"));
        Path output = folder.resolve("output.log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the warm-up has not ended");
        } finally {
            process.destroyForcibly();
        }
        assertEquals(0, process.exitValue(), Files.readString(output));
    }
}
