package org.cicadalead.adapters.request;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Reads at most a number of bytes and remembers how it failed. Read by one thread, asked by several. */
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
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
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

    /** The exchange closes the stream below, as what is left of a body must be read or the connection closed. */
    @Override
    public void close() {
        // Left to the exchange.
    }
}
