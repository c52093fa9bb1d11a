package org.cicadalead.adapters.request;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/**
 * A caller's body: kept whole when it is short, so that it can be sent again, or streamed once when it is long. Safe
 * for use by several threads, one at a time.
 */
final class RequestBody {
    private static final long UNKNOWN_LENGTH = -1;

    private final byte[] bufferedBytes;
    private final boolean fullyBuffered;
    private final LimitedInputStream remainder;
    private final long length;
    private final AtomicBoolean opened = new AtomicBoolean();

    private RequestBody(byte[] kept, boolean whole, LimitedInputStream rest, long length) {
        this.bufferedBytes = kept;
        this.fullyBuffered = whole;
        this.remainder = rest;
        this.length = length;
    }

    /**
     * Reads at most the given number of bytes ahead.
     *
     * @param length length that the caller declared; negative for none
     * @param limit length that it may have
     * @throws CicadaleadException with kind {@code BODY_TOO_LARGE}, or {@code SLOW_REQUEST} when it ends early
     */
    static RequestBody read(InputStream input, long length, int keptBytes, long limit) {
        if (length > limit) {
            throw tooLarge(limit);
        }
        LimitedInputStream limited = new LimitedInputStream(input, limit);
        if (length > keptBytes) {
            return new RequestBody(new byte[0], false, limited, length);
        }
        try {
            byte[] ahead = length >= 0 ? limited.readNBytes((int) length) : limited.readNBytes(keptBytes + 1);
            if (ahead.length < length) {
                throw new CicadaleadException(ErrorKind.SLOW_REQUEST, "The body ended before its declared length");
            }
            boolean whole = length >= 0 || ahead.length <= keptBytes;
            return new RequestBody(ahead, whole, limited, whole ? ahead.length : UNKNOWN_LENGTH);
        } catch (IOException failure) {
            throw limited.isOverLimit()
                    ? tooLarge(limit)
                    : new CicadaleadException(ErrorKind.SLOW_REQUEST, "The body did not come whole", failure);
        }
    }

    /** Tells whether it can be sent once more from its first byte. */
    boolean isResendable() {
        return fullyBuffered || !opened.get();
    }

    /** Returns the kept bytes; the whole body when {@link #isFullyBuffered} says so. */
    byte[] bufferedBytes() {
        return bufferedBytes;
    }

    /** Tells whether all of it is kept. */
    boolean isFullyBuffered() {
        return fullyBuffered;
    }

    /** Tells whether reading from the caller failed. */
    boolean hasFailed() {
        return remainder.hasFailed();
    }

    /** Tells whether the caller sent more than it may. */
    boolean isOverLimit() {
        return remainder.isOverLimit();
    }

    /** Returns the body for sending. */
    BodyPublisher publisher() {
        if (fullyBuffered) {
            return bufferedBytes.length == 0 ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(bufferedBytes);
        }
        BodyPublisher stream = BodyPublishers.ofInputStream(this::open);
        return length >= 0 ? BodyPublishers.fromPublisher(stream, length) : stream;
    }

    private InputStream open() {
        if (!opened.compareAndSet(false, true)) {
            throw new UncheckedIOException(new IOException("a streamed body can be sent only once"));
        }
        return new SequenceInputStream(new ByteArrayInputStream(bufferedBytes), remainder);
    }

    private static CicadaleadException tooLarge(long limit) {
        return new CicadaleadException(ErrorKind.BODY_TOO_LARGE, "A body may have " + limit + " bytes");
    }
}
