package org.cicadalead.adapters.platform;

import java.util.List;

/** Messages of the platform's protocol. Stateless. */
public final class PlatformMessages {
    private PlatformMessages() {}

    /**
     * Response to an append.
     *
     * @param offset offset of the new record
     */
    public record AppendResponse(long offset) {}

    /**
     * Response to a read.
     *
     * @param oldestOffset offset of the oldest record that is still stored
     * @param nextOffset offset of the next append
     * @param records the records
     */
    public record ReadResponse(long oldestOffset, long nextOffset, List<RecordResponse> records) {
        /** Copies the list. */
        public ReadResponse {
            records = List.copyOf(records);
        }
    }

    /**
     * One record of the log.
     *
     * @param offset its offset
     * @param payload its bytes, in Base64 on the wire
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record RecordResponse(long offset, byte[] payload) {}

    /**
     * A request for a reboot.
     *
     * @param operation number of the operation; a number that is not higher than an earlier one has no effect
     */
    public record RebootRequest(long operation) {}
}
