package org.cicadalead.adapters.peer;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cicadalead.adapters.security.SharedKeys;

/**
 * Adds to each frame of one direction an authentication code over its sequence number and content, or checks it. A
 * frame that was changed, repeated, left out or reordered does not match. For use by one thread at a time.
 */
final class FrameSealer {
    /** Bytes of the authentication code, a truncated HMAC-SHA-256. */
    static final int CODE_BYTES = 16;

    private final Optional<Mac> mac;
    private long sequence;

    FrameSealer(Optional<SecretKeySpec> key) {
        mac = key.map(SharedKeys::createMac);
    }

    /** Returns the bytes that each frame grows by. */
    int overhead() {
        return mac.isPresent() ? CODE_BYTES : 0;
    }

    /** Appends the code of the next frame. */
    void seal(byte[] payload, ByteBuffer frame) {
        frame.put(payload);
        mac.ifPresent(present -> frame.put(code(present, payload, payload.length), 0, CODE_BYTES));
    }

    /** Checks the code of the next frame and returns the length of its content. */
    int open(byte[] frame) {
        if (mac.isEmpty()) {
            return frame.length;
        }
        int length = frame.length - CODE_BYTES;
        if (length < 0) {
            throw new MalformedFrameException("no authentication code");
        }
        byte[] expected = Arrays.copyOf(code(mac.get(), frame, length), CODE_BYTES);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(frame, length, frame.length))) {
            throw new MalformedFrameException("wrong authentication code");
        }
        return length;
    }

    private byte[] code(Mac present, byte[] content, int length) {
        present.update(ByteBuffer.allocate(Long.BYTES).putLong(0, sequence));
        sequence++;
        present.update(content, 0, length);
        return present.doFinal();
    }
}
