package org.cicadalead.adapters.codec;

import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks the size of an encoded value before it is decoded: a damaged length field must not make the decoder reserve
 * more memory than the value has bytes. Stateless; safe for use by several threads.
 */
public final class RecordBounds {
    /** Maximum size in bytes of a record that is written or read. */
    static final int MAX_RECORD_BYTES = 1 << 20;

    private RecordBounds() {}

    /** Returns whether the bytes are exactly one complete MessagePack value of at most the given size. */
    public static boolean isWholeValue(byte[] payload, int maximumBytes) {
        if (payload.length == 0 || payload.length > maximumBytes) {
            return false;
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            unpacker.skipValue();
            return !unpacker.hasNext();
        } catch (IOException | RuntimeException damaged) {
            return false;
        }
    }
}
