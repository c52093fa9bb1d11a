package org.cicadalead.adapters.replica;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits an encoded state into parts and joins them again. Stateless; safe for use by several threads. */
public final class SnapshotParts {
    /**
     * Maximum size of a checkpoint part in bytes, which leaves space in a record for the other fields of the command.
     */
    public static final int MAX_CHECKPOINT_PART_BYTES = 256 << 10;

    private SnapshotParts() {}

    /** Splits bytes into parts of at most the given number of bytes each. */
    public static List<byte[]> split(byte[] content, int maximumBytes) {
        List<byte[]> parts = new ArrayList<>();
        for (int start = 0; start < content.length; start += maximumBytes) {
            parts.add(Arrays.copyOfRange(content, start, Math.min(content.length, start + maximumBytes)));
        }
        return parts;
    }

    /** Joins parts in the given order. */
    public static byte[] join(List<byte[]> parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        parts.forEach(joined::writeBytes);
        return joined.toByteArray();
    }
}
