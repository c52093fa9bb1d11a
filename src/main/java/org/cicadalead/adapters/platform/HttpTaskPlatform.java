package org.cicadalead.adapters.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.ports.TaskPlatform;

/** HTTP client of the platform's tasks. Immutable and safe for use by several threads. */
public final class HttpTaskPlatform implements TaskPlatform {
    /** Path of the platform's tasks. */
    public static final String TASKS_PATH = "/tasks";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
    private static final int FIRST_FAILURE_STATUS = 300;

    private final ObjectMapper mapper = DomainMappers.json();
    private final HttpClient client;
    private final String baseAddress;

    /** Creates a client of the platform at a network address. */
    public HttpTaskPlatform(NetworkAddress address) {
        this.baseAddress = "http://" + address + TASKS_PATH;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    @Override
    public void start(TaskStart start) {
        send(request("").POST(BodyPublishers.ofByteArray(encode(start))).build());
    }

    @Override
    public void stop(TaskReference task, boolean withCheckpoint) {
        post(task, "/stop?checkpoint=" + withCheckpoint);
    }

    @Override
    public void checkpoint(TaskReference task) {
        post(task, "/checkpoint");
    }

    @Override
    public void throttle(TaskReference task, boolean throttled) {
        post(task, "/throttle?on=" + throttled);
    }

    @Override
    public void removeTask(TaskReference task) {
        send(request(pathOf(task)).DELETE().build());
    }

    @Override
    public TaskChanges listChanges(long afterRevision, int maximumTasks) {
        String query = "?after=" + afterRevision + "&limit=" + maximumTasks;
        byte[] body = send(request(query).GET().build());
        try {
            return mapper.readValue(body, TaskChanges.class);
        } catch (IOException malformed) {
            throw new CicadaleadException(
                    ErrorKind.PLATFORM_UNAVAILABLE, "The platform's list of tasks cannot be read", malformed);
        }
    }

    private void post(TaskReference task, String path) {
        send(request(pathOf(task) + path).POST(BodyPublishers.noBody()).build());
    }

    private static String pathOf(TaskReference task) {
        return "/" + task.job() + "/" + task.epoch();
    }

    private byte[] encode(TaskStart start) {
        try {
            return mapper.writeValueAsBytes(start);
        } catch (IOException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The task cannot be encoded", failure);
        }
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(baseAddress + path)).timeout(RESPONSE_TIMEOUT);
    }

    private byte[] send(HttpRequest request) {
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() >= FIRST_FAILURE_STATUS) {
                throw new CicadaleadException(
                        ErrorKind.PLATFORM_UNAVAILABLE, "The platform answered with status " + response.statusCode());
            }
            return response.body();
        } catch (ConnectException | HttpConnectTimeoutException failure) {
            throw new CicadaleadException(
                    ErrorKind.PLATFORM_UNAVAILABLE, "The platform cannot be reached at " + baseAddress, failure);
        } catch (IOException failure) {
            throw new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "The platform's answer was lost", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(
                    ErrorKind.OUTCOME_UNKNOWN, "Interrupted while waiting for the platform", interrupted);
        }
    }
}
