package org.cicadalead.adapters.http;

import java.util.concurrent.Executor;

/**
 * Runs the exchanges of a server, and closes while none is open. A server hands an exchange over before it reads
 * anything of its request; an exchange that comes after the closing is dropped, so that its request counts as unread
 * and its connection closes with the server. Safe for use by several threads.
 */
public final class ExchangeGate implements Executor {
    private final Executor executor;
    private int openExchanges;
    private boolean closed;

    /** Creates an open gate that runs exchanges on an executor. */
    public ExchangeGate(Executor executor) {
        this.executor = executor;
    }

    @Override
    public void execute(Runnable exchange) {
        if (!enterUnlessClosed()) {
            return;
        }
        try {
            executor.execute(() -> {
                try {
                    exchange.run();
                } finally {
                    leave();
                }
            });
        } catch (RuntimeException notRun) {
            leave();
            throw notRun;
        }
    }

    private synchronized boolean enterUnlessClosed() {
        openExchanges += closed ? 0 : 1;
        return !closed;
    }

    /** Keeps an exchange open beyond the end of its handler, which calls this; its response is followed by a leave. */
    public synchronized void enter() {
        openExchanges++;
    }

    /** Ends an exchange that was kept open. */
    public synchronized void leave() {
        openExchanges--;
    }

    /** Closes the gate if no exchange is open; returns whether none is. */
    public synchronized boolean closeIfIdle() {
        closed |= openExchanges == 0;
        return openExchanges == 0;
    }

    /** Closes the gate for exchanges that come later; those that are open go on. */
    public synchronized void close() {
        closed = true;
    }
}
