package org.cicadalead.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.adapters.http.ProblemDocument;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Talks to the administration port of an entry process. Immutable and safe for use by several threads. */
final class AdministrationClient {
    static final String DEFAULT_ADDRESS = "127.0.0.1:20100";

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int FIRST_ERROR_STATUS = 400;

    private final ObjectMapper mapper = DomainMappers.json();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final NetworkAddress address;

    AdministrationClient(NetworkAddress address) {
        this.address = address;
    }

    String get(String path) {
        return send(request(path).GET().build());
    }

    String post(String path, Object body) {
        return send(request(path)
                .POST(HttpRequest.BodyPublishers.ofString(Console.toJson(body)))
                .build());
    }

    <T> T parse(String text, Class<T> type) {
        try {
            return mapper.readValue(text, type);
        } catch (IOException malformed) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The answer cannot be read", malformed);
        }
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    private String send(HttpRequest request) {
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= FIRST_ERROR_STATUS) {
                throw failureOf(response.body());
            }
            return response.body();
        } catch (IOException failure) {
            throw new CicadaleadException(
                    ErrorKind.NO_UPSTREAM,
                    "No entry process answers at " + address + "; name another with --address",
                    failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "Interrupted", interrupted);
        }
    }

    private CicadaleadException failureOf(String body) {
        ProblemDocument problem = parse(body, ProblemDocument.class);
        for (ErrorKind kind : ErrorKind.values()) {
            if (problem.type().endsWith(":" + kind.code())) {
                return new CicadaleadException(kind, problem.detail());
            }
        }
        return new CicadaleadException(ErrorKind.INTERNAL, problem.detail());
    }
}
