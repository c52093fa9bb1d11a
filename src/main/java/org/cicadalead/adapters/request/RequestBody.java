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
 * Body of a caller's request: a short body is buffered completely, so that it can be resent; a long body is streamed
 * once. Safe for use by several threads, one at a time.
 */
final class RequestBody {
    private static final long UNKNOWN_LENGTH = -1;

    private final byte[] bufferedBytes;
    private final boolean fullyBuffered;
    private final LimitedInputStream remainder;
    private final long length;
    private final AtomicBoolean opened = new AtomicBoolean();

    private RequestBody(byte[] bufferedBytes, boolean fullyBuffered, LimitedInputStream remainder, long length) {
        this.bufferedBytes = bufferedBytes;
        this.fullyBuffered = fullyBuffered;
        this.remainder = remainder;
        this.length = length;
    }

    /**
     * Creates a body, of which at most the given number of bytes is read ahead.
     *
     * @param length declared length in bytes; negative if none is declared
     * @param limit maximum length in bytes
     * @throws CicadaleadException with kind {@code BODY_TOO_LARGE}, or {@code SLOW_REQUEST} when it ends early
     */
    static RequestBody read(InputStream input, long length, int maxBufferedBytes, long limit) {
        if (length > limit) {
            throw tooLarge(limit);
        }
        LimitedInputStream limited = new LimitedInputStream(input, limit);
        if (length > maxBufferedBytes) {
            return new RequestBody(new byte[0], false, limited, length);
        }
        try {
            byte[] prefix = length >= 0 ? limited.readNBytes((int) length) : limited.readNBytes(maxBufferedBytes + 1);
            if (prefix.length < length) {
                throw new CicadaleadException(ErrorKind.SLOW_REQUEST, "The body ended before its declared length");
            }
            boolean fullyBuffered = length >= 0 || prefix.length <= maxBufferedBytes;
            return new RequestBody(prefix, fullyBuffered, limited, fullyBuffered ? prefix.length : UNKNOWN_LENGTH);
        } catch (IOException failure) {
            throw limited.isOverLimit()
                    ? tooLarge(limit)
                    : new CicadaleadException(ErrorKind.SLOW_REQUEST, "The body did not come whole", failure);
        }
    }

    /** Returns whether the body can be sent from its first byte again. */
    boolean isResendable() {
        return fullyBuffered || !opened.get();
    }

    /** Returns the buffered bytes; the complete body if {@link #isFullyBuffered} returns true. */
    byte[] bufferedBytes() {
        return bufferedBytes;
    }

    /** Returns whether the complete body is buffered. */
    boolean isFullyBuffered() {
        return fullyBuffered;
    }

    /** Returns whether reading from the caller failed. */
    boolean hasFailed() {
        return remainder.hasFailed();
    }

    /** Returns whether the caller sent more bytes than permitted. */
    boolean isOverLimit() {
        return remainder.isOverLimit();
    }

    /** Returns the publisher that sends the body. */
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
