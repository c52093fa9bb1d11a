package org.cicadalead.adapters.replica;

import java.util.Random;

/** One step of a run: an action with two numbers that it reads as it likes. */
record WorldStep(Action action, int first, int second) {
    static WorldStep random(Random random) {
        Action[] actions = Action.values();
        return new WorldStep(actions[random.nextInt(actions.length)], random.nextInt(64), random.nextInt(64));
    }

    @FunctionalInterface
    interface Performance {
        void perform(ReplicaWorld world, int first, int second);
    }

    /** What can happen; reads, time and publications stand several times, as they are what faults meet. */
    @SuppressWarnings("ImmutableEnumChecker")
    enum Action {
        READ((world, first, second) -> world.read(first)),
        READ_AGAIN((world, first, second) -> world.read(first)),
        READ_ONCE_MORE((world, first, second) -> world.read(first)),
        ADVANCE((world, first, second) -> world.advance(first, second)),
        ADVANCE_AGAIN((world, first, second) -> world.advance(first, second)),
        GO_ON((world, first, second) -> world.goOn()),
        GO_ON_AGAIN((world, first, second) -> world.goOn()),
        PUBLISH((world, first, second) -> world.publish(first, second)),
        PUBLISH_AGAIN((world, first, second) -> world.publish(first, second)),
        RACE((world, first, second) -> {
            world.publish(first, second);
            world.publish(first + 1, second);
        }),
        REMOVE((world, first, second) -> world.remove(first, second)),
        LOSE_REPLY((world, first, second) -> world.log().loseReplies(1)),
        DELAY_APPEND((world, first, second) -> world.log().delayAppends(1)),
        LAND_DELAYED_APPEND((world, first, second) -> world.log().landDelayedAppend()),
        REPEAT_READ((world, first, second) -> world.log().repeatReads(2)),
        DELAY_READ((world, first, second) -> world.log().delayReads(2)),
        START_OUTAGE((world, first, second) -> world.setOutage(true)),
        END_OUTAGE((world, first, second) -> world.setOutage(false)),
        CUT_FROM_PLATFORM((world, first, second) -> world.setCutFromPlatform(first, true)),
        RECONNECT_TO_PLATFORM((world, first, second) -> world.setCutFromPlatform(first, false)),
        TOGGLE_LINK((world, first, second) -> world.toggleLink(first, second)),
        LOSE_PEER_ANSWER((world, first, second) -> world.network().loseAnswers(1)),
        PAUSE((world, first, second) -> world.setPaused(first, true)),
        RESUME((world, first, second) -> world.setPaused(first, false)),
        REPLACE((world, first, second) -> world.replace(first)),
        EXPIRE((world, first, second) -> world.expire());

        private final Performance performance;

        Action(Performance performance) {
            this.performance = performance;
        }

        void perform(ReplicaWorld world, int first, int second) {
            performance.perform(world, first, second);
        }
    }
}
