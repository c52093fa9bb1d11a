package org.cicadalead.adapters.peer;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cicadalead.adapters.security.SharedKeys;

/**
 * Adds an authentication code over the sequence number and the content to each frame of one direction, or verifies it.
 * If a frame was changed, repeated, dropped or reordered, verification fails. For use by one thread at a time.
 */
final class FrameSealer {
    /** Length of the authentication code in bytes, a truncated HMAC-SHA-256. */
    static final int CODE_BYTES = 16;

    private final Optional<Mac> mac;
    private long sequence;

    FrameSealer(Optional<SecretKeySpec> key) {
        mac = key.map(SharedKeys::createMac);
    }

    /** Returns the number of bytes that sealing adds to each frame. */
    int overheadBytes() {
        return mac.isPresent() ? CODE_BYTES : 0;
    }

    /** Writes the content of the next frame and its code. */
    void seal(byte[] payload, ByteBuffer frame) {
        frame.put(payload);
        mac.ifPresent(keyedMac -> frame.put(computeCode(keyedMac, payload, payload.length), 0, CODE_BYTES));
    }

    /** Verifies the code of the next frame and returns the length of its content. */
    int open(byte[] frame) {
        if (mac.isEmpty()) {
            return frame.length;
        }
        int length = frame.length - CODE_BYTES;
        if (length < 0) {
            throw new MalformedFrameException("no authentication code");
        }
        byte[] expected = Arrays.copyOf(computeCode(mac.get(), frame, length), CODE_BYTES);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(frame, length, frame.length))) {
            throw new MalformedFrameException("wrong authentication code");
        }
        return length;
    }

    private byte[] computeCode(Mac keyedMac, byte[] content, int length) {
        keyedMac.update(ByteBuffer.allocate(Long.BYTES).putLong(0, sequence));
        sequence++;
        keyedMac.update(content, 0, length);
        return keyedMac.doFinal();
    }
}
