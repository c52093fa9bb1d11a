import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Starts entry processes with the run line of the deploy file, each on a loopback address of its own, and ends them.
 * Not safe for use by several threads.
 */
final class Daemons implements AutoCloseable {
    private static final int FRONTEND = 8624;
    private static final int READY = 8622;
    private static final int INTERNAL = 7060;
    private static final int CUT_MS = 5_500;

    /** Whether the first process that sends an order for a machine is cut off from the platform at that moment. */
    volatile boolean cutsAtFirstOrder;

    private volatile Daemon cutDaemon;
    private volatile long cutUntilNanos;

    private final Path repository;
    private final Path folder;
    private final Recorder recorder;
    private final Store store;
    private final Cloud cloud;
    private final int network;
    final List<Daemon> daemons = new ArrayList<>();

    /** An entry process. */
    static final class Daemon {
        final String name;
        final String ip;
        Process process;

        Daemon(String name, String ip) {
            this.name = name;
            this.ip = ip;
        }

        String frontend() {
            return ip + ":" + FRONTEND;
        }

        String peer() {
            return ip + ":" + INTERNAL;
        }
    }

    Daemons(Path repository, Path folder, Recorder recorder, Store store, Cloud cloud) throws IOException {
        this.repository = repository;
        this.folder = folder;
        this.recorder = recorder;
        this.store = store;
        this.cloud = cloud;
        this.network = findNetwork();
    }

    /** Returns a loopback network 127.N.0.0 on which the ports of the processes are free. */
    private static int findNetwork() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 50; tries++) {
            int candidate = 1 + random.nextInt(250);
            try (ServerSocket first = new ServerSocket();
                    ServerSocket second = new ServerSocket()) {
                first.bind(new InetSocketAddress("127." + candidate + ".0.11", FRONTEND));
                second.bind(new InetSocketAddress("127." + candidate + ".0.11", 9464));
                return candidate;
            } catch (IOException inUse) {
                // The next one is tried.
            }
        }
        throw new IOException("no free loopback network");
    }

    /** Returns a loopback address of the network of this script. */
    String ip(int number) {
        return "127." + network + ".0." + number;
    }

    /** Starts a process, with a store address of its own. */
    Daemon start(int number) throws IOException {
        Daemon daemon = new Daemon("frontend-zone-a-" + number, ip(10 + number));
        HttpServer ownStore = Http.serve(ip(200), 0, exchange -> handleStoreCall(daemon, exchange));
        HttpServer ownCloud = Http.serve(ip(200), 0, exchange -> handleCloudCall(daemon, exchange));
        Path settings = folder.resolve(daemon.name + ".conf");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "nodeName=" + daemon.name,
                        "role=entry",
                        "machineClass=frontend",
                        "serves=frontend",
                        "ip=" + daemon.ip,
                        "zone=zone-a",
                        "region=region",
                        "zones.zone-a=region",
                        "listenAddrs.frontend=" + daemon.frontend(),
                        "listenAddrs.ready=" + daemon.ip + ":" + READY,
                        "internalPortRange=" + INTERNAL + ",7075",
                        "bootstrap=true",
                        "limits.cpuShare=0.75",
                        "limits.cores=1",
                        "limits.memoryMb=430",
                        "limits.maxFds=4100",
                        "heartbeatMs=1500",
                        "bounds.contactMs=3000",
                        "bounds.ackTimeoutMs=4000",
                        "bounds.drainMs=2000",
                        "bounds.graceS=6",
                        "bounds.configApplyMs=2000",
                        "bounds.maxStretchMs=5000",
                        "bounds.holdMaxMs=6000",
                        "bounds.stopTimeoutMs=200",
                        "bounds.cancel_ms=3000",
                        "bounds.visible_ms=3000",
                        "bounds.remoteFactor=2",
                        "bounds.maintenanceS=2",
                        "bounds.migrationS=1.5",
                        "bounds.fencingEnforced=false",
                        "bounds.leaseMs=3000",
                        "commands=dispatch",
                        "platform.address=" + ip(200) + ":" + ownStore.getAddress().getPort(),
                        "platform.form=log",
                        "platform.recordBytes=262144",
                        "platform.requestBytes=2097152",
                        "cloudApi.address=" + ip(200) + ":" + ownCloud.getAddress().getPort(),
                        "cloudApi.dutyPerS=64.0",
                        ""));
        daemons.add(daemon);
        launch(daemon, settings);
        return daemon;
    }

    private void handleStoreCall(Daemon daemon, HttpExchange exchange) throws IOException {
        if (isCut(daemon)) {
            // Neither the call nor an answer gets through; the caller's timeout ends it.
            return;
        }
        store.handle(exchange);
    }

    /** Calls that are sent into a cut are held up, and delivered when it ends, when their caller has given up. */
    private void handleCloudCall(Daemon daemon, HttpExchange exchange) throws IOException {
        boolean isOrder = exchange.getRequestMethod().equals("POST");
        synchronized (this) {
            if (isOrder && cutsAtFirstOrder && cutDaemon == null) {
                cutDaemon = daemon;
                cutUntilNanos = System.nanoTime() + CUT_MS * 1_000_000L;
                recorder.line(daemon.name + " is cut off from the platform for " + CUT_MS
                        + " ms, with its first order for a machine under way");
            }
        }
        if (isCut(daemon)) {
            if (!isOrder) {
                return;
            }
            try {
                Thread.sleep(Math.max(0, (cutUntilNanos - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        cloud.handle(exchange);
    }

    private boolean isCut(Daemon daemon) {
        return daemon == cutDaemon && System.nanoTime() < cutUntilNanos;
    }

    boolean wasCut() {
        return cutDaemon != null;
    }

    private void launch(Daemon daemon, Path settings) throws IOException {
        String runLine = Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(runLine.split(" "))
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(daemon.name + ".log").toFile());
        builder.environment().put("CICADALEAD_SETTINGS", settings.toString());
        daemon.process = builder.start();
        recorder.line("started " + daemon.name + " at " + daemon.frontend());
    }

    /** Starts a process again that has ended by itself, as the platform does; returns whether it had. */
    boolean restartIfEnded(Daemon daemon) throws IOException {
        if (daemon.process.isAlive()) {
            return false;
        }
        recorder.line(daemon.name + " has ended by itself with exit status " + daemon.process.exitValue());
        launch(daemon, folder.resolve(daemon.name + ".conf"));
        return true;
    }

    /** Ends a process at once, as a crash does. */
    void kill(Daemon daemon) throws InterruptedException {
        recorder.line("kill -9 " + daemon.name);
        daemon.process.destroyForcibly();
        daemon.process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Returns the process that the newest leader record in the store names; null when there is none. */
    Daemon leader() {
        byte[] value = store.newest("keyed.leader").get("leader");
        if (value == null) {
            return null;
        }
        String text = new String(value, java.nio.charset.StandardCharsets.ISO_8859_1);
        return daemons.stream()
                .filter(daemon -> text.contains(daemon.peer()))
                .findFirst()
                .orElse(null);
    }

    @Override
    public void close() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null && daemon.process.isAlive()) {
                daemon.process.destroyForcibly();
            }
        }
        for (Daemon daemon : daemons) {
            try {
                daemon.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
