package org.cicadalead.adapters.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.adapters.platform.PlatformMessages.AppendResponse;
import org.cicadalead.adapters.platform.PlatformMessages.ReadResponse;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.ports.HostDirectory;
import org.cicadalead.ports.HostMaintenance;
import org.cicadalead.ports.PlatformLog;

/** HTTP client of the platform's log, host list and reboots. Immutable and safe for use by several threads. */
public final class HttpPlatform implements PlatformLog, HostDirectory, HostMaintenance {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
    private static final String REBOOTS_PATH = "/reboots/";
    private static final int CREATED = 201;
    private static final int OK = 200;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ObjectMapper mapper = DomainMappers.json();
    private final HttpClient client;
    private final String baseAddress;

    /** Creates a client of the platform at a network address. */
    public HttpPlatform(NetworkAddress address) {
        this.baseAddress = "http://" + address;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    @Override
    public long append(byte[] payload) {
        HttpRequest request = request("/log/records", RESPONSE_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(payload))
                .build();
        byte[] body = send(request, CREATED, ErrorKind.LOG_OUTCOME_UNKNOWN);
        return parse(body, AppendResponse.class, ErrorKind.LOG_OUTCOME_UNKNOWN).offset();
    }

    @Override
    public LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
        String path = "/log/records?from=" + fromOffset + "&limit=" + maximumRecords + "&wait-milliseconds="
                + maximumWait.toMillis();
        HttpRequest request =
                request(path, RESPONSE_TIMEOUT.plus(maximumWait)).GET().build();
        byte[] body = send(request, OK, ErrorKind.PLATFORM_UNAVAILABLE);
        ReadResponse response = parse(body, ReadResponse.class, ErrorKind.PLATFORM_UNAVAILABLE);
        List<LogRecord> records = response.records().stream()
                .map(record -> new LogRecord(record.offset(), record.payload()))
                .toList();
        return new LogBatch(response.oldestOffset(), response.nextOffset(), records);
    }

    @Override
    public List<DirectoryEntry> list() {
        HttpRequest request = request("/hosts", RESPONSE_TIMEOUT).GET().build();
        byte[] body = send(request, OK, ErrorKind.PLATFORM_UNAVAILABLE);
        return List.of(parse(body, DirectoryEntry[].class, ErrorKind.PLATFORM_UNAVAILABLE));
    }

    @Override
    public void reboot(HostName host, long operation) {
        HttpRequest request = request(REBOOTS_PATH + host, RESPONSE_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString("{\"operation\":" + operation + "}"))
                .build();
        send(request, OK, ErrorKind.PLATFORM_UNAVAILABLE);
    }

    @Override
    public HostCondition condition(HostName host) {
        HttpRequest request =
                request(REBOOTS_PATH + host, RESPONSE_TIMEOUT).GET().build();
        byte[] body = send(request, OK, ErrorKind.PLATFORM_UNAVAILABLE);
        return parse(body, HostCondition.class, ErrorKind.PLATFORM_UNAVAILABLE);
    }

    private HttpRequest.Builder request(String path, Duration timeout) {
        return HttpRequest.newBuilder(URI.create(baseAddress + path)).timeout(timeout);
    }

    /** Sends a request. A failure to connect, or a rejection by the platform itself, proves that it did not run. */
    private byte[] send(HttpRequest request, int expectedStatus, ErrorKind kindAfterSending) {
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != expectedStatus) {
                throw new CicadaleadException(
                        provesNotRun(response) ? ErrorKind.PLATFORM_UNAVAILABLE : kindAfterSending,
                        "The platform answered with status " + response.statusCode());
            }
            return response.body();
        } catch (ConnectException | HttpConnectTimeoutException failure) {
            throw new CicadaleadException(
                    ErrorKind.PLATFORM_UNAVAILABLE, "The platform cannot be reached at " + baseAddress, failure);
        } catch (IOException failure) {
            throw new CicadaleadException(kindAfterSending, "The platform's answer was lost", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(kindAfterSending, "Interrupted while waiting for the platform", interrupted);
        }
    }

    /**
     * Returns whether a response proves that the request did not run. A client error does, except a request timeout. A
     * server error may come from an intermediary after the platform has acted; it is proof only when its problem
     * document states it.
     */
    private boolean provesNotRun(HttpResponse<byte[]> response) {
        int status = response.statusCode();
        if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR) {
            return status != REQUEST_TIMEOUT;
        }
        try {
            return Execution.NOT_RUN
                    .label()
                    .equals(mapper.readTree(response.body()).path("execution").asText());
        } catch (IOException notJson) {
            return false;
        }
    }

    private <T> T parse(byte[] body, Class<T> type, ErrorKind kind) {
        try {
            return mapper.readValue(body, type);
        } catch (IOException malformed) {
            throw new CicadaleadException(kind, "The platform's answer cannot be read", malformed);
        }
    }
}
