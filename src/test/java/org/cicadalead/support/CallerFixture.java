package org.cicadalead.support;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.adapters.request.CallerServer;
import org.cicadalead.adapters.request.MembershipMonitor;
import org.cicadalead.adapters.request.RequestPorts;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.bench.requests.SyntheticFleet;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.request.RequestLimits;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PlacementView;

/** Runs a caller server in front of fake upstreams, without a platform and, by default, without peers. */
public final class CallerFixture implements AutoCloseable {
    public static final String PATH = "/services/service-0/work";
    public static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static final BindAddress ANY_PORT = new BindAddress("127.0.0.1", 0);
    private static final RequestLimits LIMITS =
            new RequestLimits(8 * 1_024, 1_024 * 1_024, 4 * 1_024, 1_024 * 1_024, Duration.ofSeconds(1));

    private final AtomicReference<SharedState> state;
    private final SystemTimerService timers = new SystemTimerService(failure -> {});
    private final CallerServer server;
    private final HttpClient client = HttpClient.newHttpClient();

    public CallerFixture(FakeUpstream... upstreams) {
        this(Optional.empty(), upstreams);
    }

    public CallerFixture(Optional<PlacementView> view, FakeUpstream... upstreams) {
        this(new ProcessIdentifier("process"), new AtomicReference<>(createState(upstreams)), view, Optional.empty());
    }

    public CallerFixture(
            ProcessIdentifier process,
            AtomicReference<SharedState> state,
            Optional<PlacementView> view,
            Optional<PeerChannel> peers) {
        this.state = state;
        RequestPorts ports = new RequestPorts(
                process,
                state::get,
                view.orElse(RequestPorts.createView(state::get)),
                peers,
                new MembershipMonitor(process),
                timers,
                (kind, cause, details) -> {},
                new SimpleMeterRegistry());
        EntrySettings settings = new EntrySettings(
                SyntheticFleet.zone(0),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                new NetworkAddress("127.0.0.1", 1),
                List.of(),
                Duration.ZERO,
                Duration.ofSeconds(5),
                Optional.empty());
        server = new CallerServer(settings, LIMITS, ports);
    }

    /** Returns the state of a fleet with one service whose hosts are the given upstreams. */
    public static SharedState createState(FakeUpstream... upstreams) {
        List<NetworkAddress> addresses =
                Arrays.stream(upstreams).map(FakeUpstream::address).toList();
        return new SyntheticFleet(1, 1, upstreams.length, 2, TIMEOUT, 10).state(addresses);
    }

    public CallerServer server() {
        return server;
    }

    public AtomicReference<SharedState> state() {
        return state;
    }

    public HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + server.address() + path));
    }

    public HttpResponse<String> get(String... headers) {
        HttpRequest.Builder request = request(PATH);
        return send(
                headers.length == 0 ? request.build() : request.headers(headers).build());
    }

    public HttpResponse<String> post(String body, String... headers) {
        HttpRequest.Builder request = request(PATH).POST(BodyPublishers.ofString(body));
        return send(
                headers.length == 0 ? request.build() : request.headers(headers).build());
    }

    public HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, BodyHandlers.ofString());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /** Sends a text unchanged over a socket and returns everything received until the connection ends. */
    public String sendRaw(String text) {
        try (Socket socket = openSocket()) {
            FakeUpstream.send(socket, text);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    public Socket openSocket() throws IOException {
        return new Socket(server.address().address(), server.address().port());
    }

    @Override
    public void close() {
        server.close();
        timers.close();
    }
}
