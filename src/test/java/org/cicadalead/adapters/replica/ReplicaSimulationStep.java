package org.cicadalead.adapters.replica;

import java.util.Random;

/** One step of a simulation: an action with two numbers whose meaning the action defines. */
record ReplicaSimulationStep(Action action, int first, int second) {
    static ReplicaSimulationStep random(Random random) {
        Action[] actions = Action.values();
        return new ReplicaSimulationStep(
                actions[random.nextInt(actions.length)], random.nextInt(64), random.nextInt(64));
    }

    @FunctionalInterface
    interface Operation {
        void perform(ReplicaSimulation simulation, int first, int second);
    }

    /**
     * Actions of a simulation. Reads, time steps and publications are listed several times, so that they are drawn more
     * often and faults affect them.
     */
    @SuppressWarnings("ImmutableEnumChecker")
    enum Action {
        READ((simulation, first, second) -> simulation.read(first)),
        READ_AGAIN((simulation, first, second) -> simulation.read(first)),
        READ_ONCE_MORE((simulation, first, second) -> simulation.read(first)),
        ADVANCE((simulation, first, second) -> simulation.advance(first, second)),
        ADVANCE_AGAIN((simulation, first, second) -> simulation.advance(first, second)),
        RUN_ACTIVE_REPLICAS((simulation, first, second) -> simulation.runActiveReplicas()),
        RUN_ACTIVE_REPLICAS_AGAIN((simulation, first, second) -> simulation.runActiveReplicas()),
        PUBLISH((simulation, first, second) -> simulation.publish(first, second)),
        PUBLISH_AGAIN((simulation, first, second) -> simulation.publish(first, second)),
        RACE((simulation, first, second) -> {
            simulation.publish(first, second);
            simulation.publish(first + 1, second);
        }),
        REMOVE((simulation, first, second) -> simulation.remove(first, second)),
        LOSE_REPLY((simulation, first, second) -> simulation.log().loseReplies(1)),
        DELAY_APPEND((simulation, first, second) -> simulation.log().delayAppends(1)),
        COMPLETE_DELAYED_APPEND((simulation, first, second) -> simulation.log().completeDelayedAppend()),
        REPEAT_READ((simulation, first, second) -> simulation.log().repeatReads(2)),
        DELAY_READ((simulation, first, second) -> simulation.log().delayReads(2)),
        START_OUTAGE((simulation, first, second) -> simulation.setOutage(true)),
        END_OUTAGE((simulation, first, second) -> simulation.setOutage(false)),
        CUT_FROM_PLATFORM((simulation, first, second) -> simulation.setCutFromPlatform(first, true)),
        RECONNECT_TO_PLATFORM((simulation, first, second) -> simulation.setCutFromPlatform(first, false)),
        TOGGLE_LINK((simulation, first, second) -> simulation.toggleLink(first, second)),
        LOSE_PEER_REPLY((simulation, first, second) -> simulation.network().loseReplies(1)),
        PAUSE((simulation, first, second) -> simulation.setPaused(first, true)),
        RESUME((simulation, first, second) -> simulation.setPaused(first, false)),
        REPLACE((simulation, first, second) -> simulation.replace(first)),
        EXPIRE((simulation, first, second) -> simulation.expire());

        private final Operation operation;

        Action(Operation operation) {
            this.operation = operation;
        }

        void perform(ReplicaSimulation simulation, int first, int second) {
            operation.perform(simulation, first, second);
        }
    }
}
