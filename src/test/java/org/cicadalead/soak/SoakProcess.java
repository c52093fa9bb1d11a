package org.cicadalead.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadalead.platform.LoopbackSettings;

/**
 * An entry process with the run line of the deploy file, which is started again after each end. It is signalled only by
 * its process identifier. Safe for use by several threads.
 */
final class SoakProcess implements AutoCloseable {
    static final int FRONTEND_PORT = 8_624;
    static final int READY_PORT = 8_622;
    static final int METRICS_PORT = 9_464;
    static final int INTERNAL_PORT = 7_060;

    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final String RUN_PREFIX = "run = \"";
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile";
    private static final String MAIN_CLASS = "org.cicadalead.cli.Main";
    private static final long END_TIMEOUT_SECONDS = 10;

    private final String name;
    private final String ip;
    private final String storeAddress;
    private final Path folder;
    private final Timeline timeline;
    private final ScheduledExecutorService timers;
    private final List<String> violations = new ArrayList<>();
    private final List<Long> stopTimes = new ArrayList<>();
    private Process process;
    private int lives;
    private int settingsRevision;
    private boolean isStopping;
    private boolean isKilled;
    private boolean isClosed;
    private long restartDelayMilliseconds;

    SoakProcess(
            String name,
            String ip,
            String storeAddress,
            Path folder,
            Timeline timeline,
            ScheduledExecutorService timers)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.storeAddress = storeAddress;
        this.folder = folder;
        this.timeline = timeline;
        this.timers = timers;
        writeSettings();
        this.process = launch();
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    /** Returns the address that the record of the leader names when this process leads. */
    String peerAddress() {
        return ip + ":" + INTERNAL_PORT;
    }

    synchronized boolean isRunning() {
        return process.isAlive() && !isStopping && !isKilled;
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the milliseconds from the last signal to stop before a monotonic time until that time. */
    synchronized OptionalLong millisecondsSinceStop(long nanoseconds) {
        return stopTimes.stream()
                .filter(stopTime -> stopTime - nanoseconds <= 0)
                .mapToLong(stopTime -> TimeUnit.NANOSECONDS.toMillis(nanoseconds - stopTime))
                .min();
    }

    /** Writes the settings file again, with a value that has changed, and sends SIGHUP. */
    synchronized void changeSettings() {
        try {
            writeSettings();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        signal("HUP");
    }

    private void writeSettings() throws IOException {
        settingsRevision++;
        new LoopbackSettings(
                        name,
                        ip,
                        FRONTEND_PORT,
                        READY_PORT,
                        INTERNAL_PORT,
                        storeAddress,
                        storeAddress,
                        settingsRevision)
                .write(settingsFile());
    }

    private Path settingsFile() {
        return folder.resolve(name + ".conf");
    }

    private static List<String> createCommand() throws IOException {
        String runLine = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(line -> line.startsWith(RUN_PREFIX))
                .map(line -> line.substring(RUN_PREFIX.length(), line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>();
        boolean isJarFile = false;
        for (String word : runLine.split(" ", -1)) {
            if (word.equals("java")) {
                command.add(
                        Path.of(System.getProperty("java.home"), "bin", word).toString());
            } else if (word.equals("-jar")) {
                command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS));
            } else if (!isJarFile && !word.startsWith(ARCHIVE_OPTION)) {
                command.add(word);
            }
            isJarFile = word.equals("-jar");
        }
        return command;
    }

    private Process launch() throws IOException {
        lives++;
        isStopping = false;
        isKilled = false;
        ProcessBuilder builder = new ProcessBuilder(createCommand())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(name + "." + lives + ".log").toFile());
        builder.environment().put(LoopbackSettings.PATH_VARIABLE, settingsFile().toString());
        Process started = builder.start();
        timeline.record(name + " started, life " + lives + ", process " + started.pid());
        started.onExit().thenAccept(this::onEnded);
        return started;
    }

    private synchronized void onEnded(Process ended) {
        long now = System.nanoTime();
        long sinceStop = millisecondsSinceStop(now).orElse(-1);
        timeline.record(name + " ended with status " + ended.exitValue()
                + (isStopping ? ", " + sinceStop + " ms after its first signal to stop" : ""));
        if (!isStopping && !isKilled && !isClosed) {
            violations.add("ended by itself: " + name + ", life " + lives + ", status " + ended.exitValue() + ", at "
                    + timeline.wallClock(now));
        }
        if (!isClosed) {
            timers.schedule(this::restart, restartDelayMilliseconds, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void restart() {
        if (isClosed) {
            return;
        }
        try {
            process = launch();
        } catch (IOException failure) {
            violations.add("not started again: " + name + ", " + failure);
        }
    }

    /** Sends SIGTERM, and SIGKILL when the grace period is over, as the platform does. */
    synchronized void stop(long nextRestartDelayMilliseconds) {
        if (!isStopping) {
            isStopping = true;
            stopTimes.add(System.nanoTime());
            restartDelayMilliseconds = nextRestartDelayMilliseconds;
            Process stopping = process;
            long stoppedAt = System.nanoTime();
            timers.schedule(
                    () -> endAfterGracePeriod(stopping, stoppedAt), LoopbackSettings.GRACE_SECONDS, TimeUnit.SECONDS);
        }
        signal("TERM");
    }

    private synchronized void endAfterGracePeriod(Process stopping, long stoppedAt) {
        if (stopping.isAlive() && !isClosed) {
            if (!timeline.isDisrupted(stoppedAt - TimeUnit.SECONDS.toNanos(3), System.nanoTime())) {
                violations.add("outlives its grace period: " + name + ", life " + lives + ", stopped at "
                        + timeline.wallClock(stoppedAt));
            }
            timeline.record(name + " outlives its grace period and is killed");
            stopping.destroyForcibly();
        }
    }

    /** Sends SIGKILL; the process is started again after a delay. */
    synchronized void kill(long nextRestartDelayMilliseconds) {
        isKilled = true;
        restartDelayMilliseconds = nextRestartDelayMilliseconds;
        signal("KILL");
    }

    synchronized void signal(String signalName) {
        if (!process.isAlive()) {
            return;
        }
        timeline.record(name + " gets SIG" + signalName);
        try {
            Process command = new ProcessBuilder("kill", "-" + signalName, String.valueOf(process.pid())).start();
            command.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        Process last;
        synchronized (this) {
            isClosed = true;
            last = process;
        }
        last.destroyForcibly();
        try {
            last.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
