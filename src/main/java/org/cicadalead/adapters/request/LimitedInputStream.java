package org.cicadalead.adapters.request;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Reads at most a given number of bytes and records how reading failed. Must be read by one thread only; its state may
 * be queried by several.
 */
final class LimitedInputStream extends FilterInputStream {
    private final long limit;
    private long bytesRead;
    private volatile boolean failed;
    private volatile boolean overLimit;

    LimitedInputStream(InputStream input, long limit) {
        super(input);
        this.limit = limit;
    }

    boolean hasFailed() {
        return failed;
    }

    boolean isOverLimit() {
        return overLimit;
    }

    @Override
    public int read() throws IOException {
        byte[] singleByte = new byte[1];
        return read(singleByte, 0, 1) < 0 ? -1 : singleByte[0] & 0xff;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        try {
            int read = in.read(buffer, offset, length);
            bytesRead += Math.max(0, read);
            if (bytesRead > limit) {
                overLimit = true;
                throw new IOException("the body is longer than " + limit + " bytes");
            }
            return read;
        } catch (IOException failure) {
            failed = true;
            throw failure;
        }
    }

    /**
     * Does not close the underlying stream. The exchange does, as it must either read the rest of the body or close the
     * connection.
     */
    @Override
    public void close() {
        // The exchange closes the underlying stream.
    }
}
