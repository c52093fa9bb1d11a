package org.cicadalead.adapters.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.cicadalead.adapters.security.OperatorSignature;
import org.cicadalead.adapters.security.SharedKeys;
import org.cicadalead.adapters.standin.PlatformStandIn;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedKeySecrecyTest {
    private static final String KEY = "5f3ae1c07b9d4286a1d0c3b2e4f50617";
    private static final BindAddress LOOPBACK = new BindAddress("127.0.0.1", 0);

    @TempDir
    private Path folder;

    private final ConcurrentLinkedQueue<String> logLines = new ConcurrentLinkedQueue<>();
    private final Handler logHandler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            logLines.add(record.getMessage()
                    + List.of(Optional.ofNullable(record.getParameters()).orElse(new Object[0])));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    private PlatformStandIn platform;

    @BeforeEach
    void startCapturingLog() {
        logHandler.setLevel(Level.ALL);
        Logger.getLogger("").addHandler(logHandler);
        platform = new PlatformStandIn("127.0.0.1", 0);
    }

    @AfterEach
    void stopCapturingLog() {
        Logger.getLogger("").removeHandler(logHandler);
        platform.close();
    }

    @Test
    void exposesKeyInNoResponseOrLogLine() throws Exception {
        try (EntryProcess entry = new EntryProcess(
                createSettings(LOOPBACK, Optional.of(writeKeyFile().toString())))) {
            for (String path : List.of("/status", "/members", "/timeline", "/metrics", "/hosts")) {
                HttpResponse<String> response = get(entry, path, Optional.of(readerToken()));
                assertEquals(200, response.statusCode(), path);
                assertFalse(response.body().contains(KEY), path);
            }
        }
        assertFalse(logLines.stream().anyMatch(line -> line.contains(KEY)));
    }

    @Test
    void requiresKeyExceptForHealthCheck() throws Exception {
        try (EntryProcess entry = new EntryProcess(
                createSettings(LOOPBACK, Optional.of(writeKeyFile().toString())))) {
            assertEquals(401, get(entry, "/status", Optional.empty()).statusCode());
            assertEquals(
                    401, get(entry, "/status", Optional.of("Bearer " + KEY)).statusCode());
            assertEquals(200, get(entry, "/healthz", Optional.empty()).statusCode());
        }
    }

    @Test
    void rejectsNonLoopbackAddressWithoutKey() {
        CicadaleadException failure = assertThrows(
                CicadaleadException.class,
                () -> new EntryProcess(createSettings(new BindAddress("0.0.0.0", 0), Optional.empty())).close());
        assertEquals(ErrorKind.INVALID_SETTINGS, failure.kind());
    }

    private Path writeKeyFile() throws Exception {
        Path file = folder.resolve("keys");
        Files.writeString(file, KEY + "\n");
        return file;
    }

    private EntrySettings createSettings(BindAddress peerAddress, Optional<String> keyFile) {
        return new EntrySettings(
                new ZoneName("east"),
                LOOPBACK,
                LOOPBACK,
                peerAddress,
                platform.address(),
                List.of(),
                Duration.ZERO,
                Duration.ofSeconds(1),
                keyFile);
    }

    private static String readerToken() {
        return "Bearer "
                + OperatorSignature.readerToken(
                        SharedKeys.of(List.of(KEY)).keys().get(0));
    }

    private static HttpResponse<String> get(EntryProcess entry, String path, Optional<String> authorization)
            throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + entry.administrationAddress() + path));
        authorization.ifPresent(header -> request.header("Authorization", header));
        return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
