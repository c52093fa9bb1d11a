package org.cicadalead.adapters.codec;

import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Bounds of an encoded record, checked before it is decoded: a damaged length must not make the decoder reserve more
 * memory than the record has bytes. Stateless; safe for use by several threads.
 */
final class RecordBounds {
    /** Largest record that is written or read, in bytes. */
    static final int MAX_RECORD_BYTES = 1 << 20;

    private RecordBounds() {}

    /** Tells whether the bytes are one MessagePack value, whole and within the bound. */
    static boolean isWholeValue(byte[] payload, int maximumBytes) {
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
