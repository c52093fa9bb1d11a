package org.cicadalead.soak;

import java.util.List;
import java.util.Random;

/** What is done to the processes of a run in one of its rounds. */
enum SoakFault {
    /** A process that isn't the leader, if possible, reads its settings again and is stopped. */
    STOP(true) {
        @Override
        void inject(SoakRun run, Random random) {
            run.pickRunning(random, false).ifPresent(process -> stopAfterSettings(run, process, random));
        }
    },
    /** The leader reads its settings again and is stopped. */
    STOP_LEADER(true) {
        @Override
        void inject(SoakRun run, Random random) {
            run.pickRunning(random, true).ifPresent(process -> stopAfterSettings(run, process, random));
        }
    },
    /** The leader is stopped, and another process soon after it. */
    STOP_LEADER_AND_ANOTHER(true) {
        @Override
        void inject(SoakRun run, Random random) {
            STOP_LEADER.inject(run, random);
            run.pause(SECOND_STOP_MILLISECONDS);
            run.pickRunning(random, random.nextBoolean()).ifPresent(process -> process.stop(restartDelay(random)));
        }
    },
    /** A process is stopped twice in a row. */
    STOP_TWICE(true) {
        @Override
        void inject(SoakRun run, Random random) {
            run.pickRunning(random, random.nextBoolean()).ifPresent(process -> {
                process.stop(restartDelay(random));
                run.pause(random.nextInt(MAX_SECOND_SIGNAL_MILLISECONDS));
                process.stop(restartDelay(random));
            });
        }
    },
    /** The store is slow while the leader is stopped. */
    STOP_WITH_SLOW_STORE(true) {
        @Override
        void inject(SoakRun run, Random random) {
            run.slowStore(MIN_SLOW_FACTOR + random.nextInt(MAX_SLOW_FACTOR - MIN_SLOW_FACTOR), SLOW_MILLISECONDS);
            run.pause(random.nextInt(SECOND_STOP_MILLISECONDS));
            (random.nextBoolean() ? STOP : STOP_LEADER).inject(run, random);
        }
    },
    /** A new version of the configuration is put just before or during a stop. */
    STOP_WITH_CONFIGURATION(true) {
        @Override
        void inject(SoakRun run, Random random) {
            boolean isBefore = random.nextBoolean();
            if (isBefore) {
                run.putConfiguration();
                run.pause(random.nextInt(SECOND_STOP_MILLISECONDS));
            }
            (random.nextBoolean() ? STOP : STOP_LEADER).inject(run, random);
            if (!isBefore) {
                run.pause(random.nextInt(SECOND_STOP_MILLISECONDS));
                run.putConfiguration();
            }
        }
    },
    /** A process is suspended for some seconds. */
    PAUSE(false) {
        @Override
        void inject(SoakRun run, Random random) {
            long milliseconds = (long) MIN_PAUSE_MILLISECONDS + random.nextInt(MAX_PAUSE_MILLISECONDS);
            run.pickRunning(random, random.nextBoolean()).ifPresent(process -> {
                run.timeline().disrupt(process.name() + " is suspended", milliseconds);
                process.signal("STOP");
                run.pause(milliseconds);
                process.signal("CONT");
            });
        }
    },
    /** What a process sends to the store, or what the store answers, or both, is held up for some seconds. */
    CUT_STORE(false) {
        @Override
        void inject(SoakRun run, Random random) {
            TcpProxy.Mode[] cuts = {TcpProxy.Mode.REQUESTS_HELD, TcpProxy.Mode.ANSWERS_HELD, TcpProxy.Mode.SILENT};
            TcpProxy.Mode cut = cuts[random.nextInt(cuts.length)];
            long milliseconds = (long) MIN_PAUSE_MILLISECONDS + random.nextInt(MAX_PAUSE_MILLISECONDS);
            run.pickRunning(random, random.nextBoolean()).ifPresent(process -> {
                run.timeline().disrupt(process.name() + " is cut from the store: " + cut, milliseconds);
                run.storeProxyOf(process).setMode(cut);
                run.pause(milliseconds);
                run.storeProxyOf(process).setMode(TcpProxy.Mode.RELAYED);
            });
        }
    },
    /** Everything between a process and the store is late for some seconds. */
    DELAY_STORE(false) {
        @Override
        void inject(SoakRun run, Random random) {
            long milliseconds = (long) MIN_PAUSE_MILLISECONDS + random.nextInt(MAX_PAUSE_MILLISECONDS);
            run.pickRunning(random, random.nextBoolean()).ifPresent(process -> {
                run.timeline().disrupt(process.name() + " reaches the store late", milliseconds);
                run.storeProxyOf(process).setDelay(random.nextInt(MAX_DELAY_MILLISECONDS));
                run.pause(milliseconds);
                run.storeProxyOf(process).setDelay(0);
            });
        }
    },
    /** The connections between a process and the store are reset. */
    RESET_STORE(false) {
        @Override
        void inject(SoakRun run, Random random) {
            run.pickRunning(random, random.nextBoolean()).ifPresent(process -> {
                run.timeline().disrupt("the connections of " + process.name() + " to the store are reset", 0);
                run.storeProxyOf(process).resetConnections();
            });
        }
    },
    /** A process is killed. */
    KILL(false) {
        @Override
        void inject(SoakRun run, Random random) {
            run.pickRunning(random, random.nextBoolean()).ifPresent(process -> {
                run.timeline().disrupt(process.name() + " is killed", 0);
                process.kill(restartDelay(random));
            });
        }
    };

    private static final int SETTINGS_MILLISECONDS = 100;
    private static final int SECOND_STOP_MILLISECONDS = 700;
    private static final int MAX_SECOND_SIGNAL_MILLISECONDS = 1_500;
    private static final int MIN_SLOW_FACTOR = 20;
    private static final int MAX_SLOW_FACTOR = 60;
    private static final int SLOW_MILLISECONDS = 5_000;
    private static final int MIN_PAUSE_MILLISECONDS = 500;
    private static final int MAX_PAUSE_MILLISECONDS = 4_000;
    private static final int MAX_DELAY_MILLISECONDS = 300;
    private static final int MAX_RESTART_MILLISECONDS = 500;

    private final boolean isPlanned;

    SoakFault(boolean isPlanned) {
        this.isPlanned = isPlanned;
    }

    boolean isPlanned() {
        return isPlanned;
    }

    /** Carries the fault out; returns when its last signal was sent. */
    abstract void inject(SoakRun run, Random random);

    static List<SoakFault> select(boolean isPlannedOnly) {
        return List.of(values()).stream()
                .filter(fault -> fault.isPlanned || !isPlannedOnly)
                .toList();
    }

    private static int restartDelay(Random random) {
        return random.nextInt(MAX_RESTART_MILLISECONDS);
    }

    private static void stopAfterSettings(SoakRun run, SoakProcess process, Random random) {
        process.changeSettings();
        run.pause(SETTINGS_MILLISECONDS);
        process.stop(restartDelay(random));
    }
}
