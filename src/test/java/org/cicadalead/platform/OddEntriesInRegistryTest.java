package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against entries of other writers in the registry by which workers are no longer followed. */
class OddEntriesInRegistryTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String REGISTRY = "keyed.servers";
    private static final String AUTHORITY = "jobs.example";
    private static final int ENTRIES_OF_ONE_KIND = 100;
    private static final String JOB_BODY =
            "{\"spec\":\"text\",\"jobSteps\":[{\"count\":3,\"cpu\":500,\"estimatedMs\":60},"
                    + "{\"count\":2,\"cpu\":500,\"estimatedMs\":60,\"dependsOn\":[0]}]}";

    @TempDir
    Path folder;

    private LoopbackPlatform loopback;

    @BeforeEach
    void start() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        loopback = new LoopbackPlatform(folder, 2);
    }

    @AfterEach
    void stop() {
        loopback.close();
    }

    private void putOddEntries(String prefix) {
        int number = 0;
        for (String odd : OddRecords.oddHosts().values()) {
            loopback.store.put(REGISTRY, prefix + number++, odd);
        }
    }

    private void awaitAccepted(String address, String job) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        int status = 0;
        while (System.nanoTime() < deadline && status != PlatformHttpClient.OK) {
            status = loopback.sendRequest("POST", address, AUTHORITY, "/plan/" + job, JOB_BODY)
                    .statusCode();
            Thread.sleep(status == PlatformHttpClient.OK ? 0 : 50);
        }
        assertEquals(PlatformHttpClient.OK, status);
    }

    private void awaitCompleted(String address, String job) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        String state = "";
        while (System.nanoTime() < deadline && !state.contains("completed")) {
            state = loopback.sendRequest("GET", address, AUTHORITY, "/plan/" + job, "")
                    .body();
            Thread.sleep(30);
        }
        assertEquals("{\"state\":\"completed\"}", state);
    }

    private void assertStartedOnce(String job) {
        assertEquals(
                List.of("0.0.0", "0.0.1", "0.0.2", "0.1.0", "0.1.1"),
                loopback.workers.stream()
                        .flatMap(worker -> worker.starts().stream())
                        .filter(task -> task.startsWith(job))
                        .map(task -> task.substring(job.length() + 1))
                        .sorted()
                        .toList());
    }

    @Test
    void followsWorkersBesideOddEntriesThatWereThereBeforeTheStart() throws IOException, InterruptedException {
        putOddEntries("odd-");
        for (int number = 0; number < ENTRIES_OF_ONE_KIND; number++) {
            loopback.store.put(
                    REGISTRY,
                    "port-" + number,
                    OddRecords.VALID_HOST.replace("127.0.0.1:1", "127.0.0.1:" + (70_000 + number)));
        }
        for (int number = 0; number < ENTRIES_OF_ONE_KIND; number++) {
            String host = OddRecords.VALID_HOST.replace("127.0.0.1:1", "127.0.0.1:" + (1 + number));
            loopback.store.put(REGISTRY, "line\nbreak-" + number, host);
        }
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000a1");
        awaitCompleted(address, "00000000000000a1");
        assertStartedOnce("00000000000000a1");
    }

    @Test
    void followsWorkersBesideOddEntriesThatChange() throws Exception {
        String address = loopback.startEntry("one");
        AtomicBoolean ended = new AtomicBoolean();
        Thread writer = new Thread(() -> {
            int round = 0;
            while (!ended.get()) {
                int number = 0;
                for (String odd : OddRecords.oddHosts().values()) {
                    if (odd.length() < 1_000 && number++ % 10 == round % 10) {
                        loopback.store.put(REGISTRY, "changing", odd);
                        loopback.store.put(REGISTRY, "odd-" + round + "-" + number, odd);
                    }
                }
                round++;
                try {
                    Thread.sleep(50);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        });
        writer.start();
        try {
            for (int number = 1; number < 6; number++) {
                awaitAccepted(address, "00000000000000b" + number);
                awaitCompleted(address, "00000000000000b" + number);
                assertStartedOnce("00000000000000b" + number);
            }
        } finally {
            ended.set(true);
            writer.join();
        }
    }

    /** Its worker gets no work until its own entry is back; it was no longer polled afterwards. */
    @Test
    void followsWorkersWhoseEntriesWereOddForAWhile() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000d0");
        List<String> valid = List.of(
                loopback.store.newestValue(REGISTRY, "worker-0"), loopback.store.newestValue(REGISTRY, "worker-1"));
        int number = 0;
        for (String odd : List.of(
                "{",
                OddRecords.nested(60_000),
                valid.get(0).replaceFirst(":[0-9]+\",\"zone", ":70000\",\"zone"),
                valid.get(0).replaceFirst(":[0-9]+\",\"zone", ":99999999999\",\"zone"),
                valid.get(0).replaceFirst("127.0.0.1:", "127.0.0.1.9:"),
                valid.get(0).replace("4000", "9223372036854775808"),
                valid.get(0).replace("4000", "-4000"),
                valid.get(0).replace("\"born\":1", "\"born\":\"1\""),
                valid.get(0).replace("\"ready\"", "\"gone\""))) {
            String job = "00000000000000c" + number++;
            awaitAccepted(address, job);
            loopback.store.put(REGISTRY, "worker-0", odd);
            loopback.store.put(REGISTRY, "worker-1", odd);
            Thread.sleep(400);
            loopback.store.put(REGISTRY, "worker-0", valid.get(0));
            loopback.store.put(REGISTRY, "worker-1", valid.get(1));
            awaitCompleted(address, job);
            assertStartedOnce(job);
        }
    }
}
