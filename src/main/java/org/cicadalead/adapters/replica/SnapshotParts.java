package org.cicadalead.adapters.replica;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Cuts an encoded state into parts and joins them again. Stateless; safe for use by several threads. */
public final class SnapshotParts {
    /** Largest part of a checkpoint in bytes; a record holds it with room for what stands around it. */
    public static final int MAX_CHECKPOINT_PART_BYTES = 256 << 10;

    private SnapshotParts() {}

    /** Returns the parts, each of at most the given number of bytes. */
    public static List<byte[]> split(byte[] whole, int maximumBytes) {
        List<byte[]> parts = new ArrayList<>();
        for (int start = 0; start < whole.length; start += maximumBytes) {
            parts.add(Arrays.copyOfRange(whole, start, Math.min(whole.length, start + maximumBytes)));
        }
        return parts;
    }

    /** Returns the whole. */
    public static byte[] join(List<byte[]> parts) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        parts.forEach(whole::writeBytes);
        return whole.toByteArray();
    }
}
