package org.cicadalead.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.adapters.http.ProblemDocument;
import org.cicadalead.adapters.security.OperatorSignature;
import org.cicadalead.adapters.security.SharedKeyFile;
import org.cicadalead.adapters.security.SharedKeys;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Sends requests to the administration port of an entry process. Immutable and thread-safe. */
final class AdministrationClient {
    static final String DEFAULT_ADDRESS = "127.0.0.1:20100";

    /** Environment variable that names the file with the keys for signing requests. */
    static final String KEY_FILE_VARIABLE = "CICADALEAD_KEY_FILE";

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int FIRST_ERROR_STATUS = 400;

    private final ObjectMapper mapper = DomainMappers.json();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final NetworkAddress address;
    private final SharedKeys keys;

    /** Creates a client that signs requests if the environment variable names a key file. */
    AdministrationClient(NetworkAddress address) {
        this(
                address,
                Optional.ofNullable(System.getenv(KEY_FILE_VARIABLE))
                        .map(Path::of)
                        .map(SharedKeyFile::read)
                        .orElseGet(SharedKeys::none));
    }

    /** Creates a client that signs requests with the first of the given keys, if there are any. */
    AdministrationClient(NetworkAddress address, SharedKeys keys) {
        this.address = address;
        this.keys = keys;
    }

    String get(String path) {
        return send(createRequest("GET", path, new byte[0]).GET().build());
    }

    String post(String path, Object body) {
        byte[] content = Console.toJson(body).getBytes(StandardCharsets.UTF_8);
        return send(createRequest("POST", path, content)
                .POST(HttpRequest.BodyPublishers.ofByteArray(content))
                .build());
    }

    <T> T parse(String text, Class<T> type) {
        try {
            return mapper.readValue(text, type);
        } catch (IOException malformed) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The answer cannot be read", malformed);
        }
    }

    private HttpRequest.Builder createRequest(String method, String path, byte[] body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
        if (!keys.isEmpty()) {
            OperatorSignature signature = OperatorSignature.sign(
                    keys.keys().get(0),
                    method,
                    path,
                    System.currentTimeMillis(),
                    UUID.randomUUID().toString(),
                    body);
            request.header("Authorization", signature.header());
        }
        return request;
    }

    private String send(HttpRequest request) {
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= FIRST_ERROR_STATUS) {
                throw toException(response.body());
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

    private CicadaleadException toException(String body) {
        ProblemDocument problem = parse(body, ProblemDocument.class);
        for (ErrorKind kind : ErrorKind.values()) {
            if (problem.type().endsWith(":" + kind.code())) {
                return new CicadaleadException(kind, problem.detail());
            }
        }
        return new CicadaleadException(ErrorKind.INTERNAL, problem.detail());
    }
}
