package org.cicadalead.crash;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadalead.model.configuration.NetworkAddress;

/**
 * The program, running as a child process, which is signalled only by its process identifier. For use by one thread.
 */
final class ChildProcess implements AutoCloseable {
    private static final Pattern ADDRESSES =
            Pattern.compile("callers: http://([0-9.:]+) {2}administration: http://([0-9.:]+)");
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(5);
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    private final Process process;
    private final Path output;
    private NetworkAddress callerAddress;

    private ChildProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    /** Starts an entry process without waiting for it; {@link #awaitReady} waits until it is ready. */
    static ChildProcess startEntry(Path folder, String name, String zone, NetworkAddress platform) throws IOException {
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(
                settings,
                "zone = \"" + zone + "\"\ncaller-address = \"127.0.0.1:0\"\nadministration-address = \"127.0.0.1:0\"\n"
                        + "peer-address = \"127.0.0.1:0\"\nplatform-address = \"" + platform + "\"\n"
                        + "balancer-delay-milliseconds = 100\nshutdown-limit-milliseconds = 20000\n");
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx256m"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "org.cicadalead.cli.Main"));
        command.addAll(List.of("entry", "--settings", settings.toString()));
        Path output = folder.resolve(name + ".log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        return new ChildProcess(process, output);
    }

    /** Waits until the process reports that it is ready; fails if it ends or after a generous timeout. */
    void awaitReady() throws Exception {
        HttpClient client =
                HttpClient.newBuilder().connectTimeout(PROBE_TIMEOUT).build();
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (System.nanoTime() < deadline && process.isAlive()) {
            Matcher addresses = ADDRESSES.matcher(Files.readString(output));
            if (addresses.find() && isReady(client, addresses.group(2))) {
                callerAddress = NetworkAddress.parse(addresses.group(1));
                return;
            }
            Polling.pause();
        }
        throw new AssertionError("The entry process did not become ready:\n" + Files.readString(output));
    }

    private static boolean isReady(HttpClient client, String administration) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + administration + "/readyz"))
                .timeout(PROBE_TIMEOUT)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException notReachable) {
            return false;
        }
    }

    NetworkAddress callerAddress() {
        return callerAddress;
    }

    /** Kills the process at once, as SIGKILL does. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Stops the process gracefully and returns its exit code. */
    int stopGracefully() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("The graceful shutdown did not end");
        }
        return process.exitValue();
    }

    /** Pauses the process, as a stalled host would. */
    void pause() throws Exception {
        sendSignal("-STOP");
    }

    /** Resumes the process after {@link #pause}. */
    void resume() throws Exception {
        sendSignal("-CONT");
    }

    private void sendSignal(String name) throws Exception {
        Process killCommand = new ProcessBuilder("kill", name, String.valueOf(process.pid())).start();
        if (killCommand.waitFor() != 0) {
            throw new AssertionError("kill " + name + " failed");
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
