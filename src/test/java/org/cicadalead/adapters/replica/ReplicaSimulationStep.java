package org.cicadalead.adapters.replica;

import java.util.Random;

/** One step of a run: an action with two numbers that it reads as it likes. */
record ReplicaSimulationStep(Action action, int first, int second) {
    static ReplicaSimulationStep random(Random random) {
        Action[] actions = Action.values();
        return new ReplicaSimulationStep(
                actions[random.nextInt(actions.length)], random.nextInt(64), random.nextInt(64));
    }

    @FunctionalInterface
    interface Operation {
        void perform(ReplicaSimulation world, int first, int second);
    }

    /** What can happen; reads, time and publications stand several times, as they are what faults meet. */
    @SuppressWarnings("ImmutableEnumChecker")
    enum Action {
        READ((world, first, second) -> world.read(first)),
        READ_AGAIN((world, first, second) -> world.read(first)),
        READ_ONCE_MORE((world, first, second) -> world.read(first)),
        ADVANCE((world, first, second) -> world.advance(first, second)),
        ADVANCE_AGAIN((world, first, second) -> world.advance(first, second)),
        RUN_ACTIVE_REPLICAS((world, first, second) -> world.runActiveReplicas()),
        RUN_ACTIVE_REPLICAS_AGAIN((world, first, second) -> world.runActiveReplicas()),
        PUBLISH((world, first, second) -> world.publish(first, second)),
        PUBLISH_AGAIN((world, first, second) -> world.publish(first, second)),
        RACE((world, first, second) -> {
            world.publish(first, second);
            world.publish(first + 1, second);
        }),
        REMOVE((world, first, second) -> world.remove(first, second)),
        LOSE_REPLY((world, first, second) -> world.log().loseReplies(1)),
        DELAY_APPEND((world, first, second) -> world.log().delayAppends(1)),
        COMPLETE_DELAYED_APPEND((world, first, second) -> world.log().completeDelayedAppend()),
        REPEAT_READ((world, first, second) -> world.log().repeatReads(2)),
        DELAY_READ((world, first, second) -> world.log().delayReads(2)),
        START_OUTAGE((world, first, second) -> world.setOutage(true)),
        END_OUTAGE((world, first, second) -> world.setOutage(false)),
        CUT_FROM_PLATFORM((world, first, second) -> world.setCutFromPlatform(first, true)),
        RECONNECT_TO_PLATFORM((world, first, second) -> world.setCutFromPlatform(first, false)),
        TOGGLE_LINK((world, first, second) -> world.toggleLink(first, second)),
        LOSE_PEER_REPLY((world, first, second) -> world.network().loseReplies(1)),
        PAUSE((world, first, second) -> world.setPaused(first, true)),
        RESUME((world, first, second) -> world.setPaused(first, false)),
        REPLACE((world, first, second) -> world.replace(first)),
        EXPIRE((world, first, second) -> world.expire());

        private final Operation operation;

        Action(Operation performance) {
            this.operation = performance;
        }

        void perform(ReplicaSimulation world, int first, int second) {
            operation.perform(world, first, second);
        }
    }
}
