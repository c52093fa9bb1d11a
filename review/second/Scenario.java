package review.second;

import java.nio.file.Path;
import java.util.List;

/** Runs one scenario by its name: exits with 1 if the rule was broken, with 0 if it held, with 2 if it could not run. */
public final class Scenario {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LIMIT_MILLISECONDS = 117_000;

    private Scenario() {}

    /** A scenario. */
    interface Body {
        int run(World world, boolean trouble) throws Exception;
    }

    /** Starts the scenario; the arguments are its name and the folder of its record. */
    public static void main(String[] arguments) {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Body body =
                switch (arguments[0]) {
                    case "moved-queue" -> new MovedQueue();
                    case "other-kind" -> new OtherKind();
                    case "wide-job" -> new WideJob();
                    case "many-jobs" -> new ManyJobs();
                    default -> throw new IllegalArgumentException(arguments[0]);
                };
        int result = NOT_RUN;
        try (World world = new World(Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(world::endProcesses));
            World.daemon(() -> endInTime(world)).start();
            try {
                result = body.run(world, trouble);
            } catch (Exception failure) {
                world.record("the scenario could not run: " + failure);
            }
            world.record("result " + result + (trouble ? "" : " (without the disruption)"));
        } catch (Exception failure) {
            System.err.println(failure);
        }
        System.exit(result);
    }

    /** Ends a run that takes too long, as one that could not judge. */
    private static void endInTime(World world) {
        try {
            Thread.sleep(LIMIT_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            return;
        }
        world.record("the scenario took too long");
        world.endProcesses();
        Runtime.getRuntime().halt(NOT_RUN);
    }

    /** Starts three processes in three zones, and waits until all serve and one leads. */
    static boolean startEntries(World world) throws Exception {
        for (String zone : List.of("kingston", "mandeville", "montego-bay")) {
            world.startEntry("frontend-" + zone + "-1", zone);
        }
        for (World.Entry entry : world.entries) {
            if (!world.awaitReady(entry)) {
                return false;
            }
        }
        for (int attempt = 0; attempt < 100 && world.findLeader() == null; attempt++) {
            Thread.sleep(100);
        }
        // The first term reads its data and announces itself.
        Thread.sleep(2_000);
        return world.findLeader() != null;
    }

    static String zoneOf(int number) {
        return List.of("kingston", "mandeville", "montego-bay").get(number % 3);
    }
}
