package org.cicadalead.adapters.request;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * What a process tells the others about its slots, in every heartbeat. Immutable.
 *
 * @param drainedOffset newest offset of the shared state whose shares it keeps to, with nothing used above them
 * @param idle whether it stops and places no work any more
 */
record SlotReport(long drainedOffset, boolean idle) {
    private static final int BYTES = Long.BYTES + 1;

    byte[] encode() {
        return ByteBuffer.allocate(BYTES)
                .putLong(drainedOffset)
                .put((byte) (idle ? 1 : 0))
                .array();
    }

    static Optional<SlotReport> decode(byte[] bytes) {
        if (bytes.length != BYTES) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return Optional.of(new SlotReport(buffer.getLong(), buffer.get() != 0));
    }
}
