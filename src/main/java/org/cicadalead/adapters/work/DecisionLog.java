package org.cicadalead.adapters.work;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.event.EventSeverity;

/**
 * Writes one line of JSON for each decision. Writing never blocks a decision: lines wait in a bounded queue, and what
 * does not fit is counted and reported. Safe for use by several threads.
 */
public final class DecisionLog implements AutoCloseable {
    /** Lines that may wait; at 250 bytes a line this is half a megabyte. */
    private static final int MAX_PENDING_LINES = 2_000;

    /** Lines a second beyond which only warnings are written, so that writing stays under a hundredth of a core. */
    private static final int MAX_LINES_PER_SECOND = 400;

    private static final String END_MARKER = new String("end");

    private final BlockingQueue<String> pendingLines = new ArrayBlockingQueue<>(MAX_PENDING_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final OutputStream output;
    private final String process;
    private final WorkMetrics metrics;
    private final Thread writer;
    private long currentSecond;
    private int linesInSecond;

    /** Starts a log of a process. */
    public DecisionLog(OutputStream output, String process, WorkMetrics metrics) {
        this.output = output;
        this.metrics = metrics;
        this.process = process;
        this.writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Adds a line. */
    public void emit(EventKind kind, EventDetail... details) {
        metrics.countDecision(kind);
        if (!admit(kind)) {
            droppedLines.incrementAndGet();
            return;
        }
        StringBuilder line = new StringBuilder(200);
        line.append("{\"time\":\"")
                .append(Instant.now())
                .append("\",\"number\":")
                .append(kind.number());
        line.append(",\"kind\":\"").append(kind.name()).append("\",\"process\":");
        appendQuoted(line, process);
        for (EventDetail detail : details) {
            line.append(',');
            appendQuoted(line, detail.name());
            line.append(':');
            appendQuoted(line, detail.value());
        }
        if (!pendingLines.offer(line.append("}\n").toString())) {
            droppedLines.incrementAndGet();
        }
    }

    private synchronized boolean admit(EventKind kind) {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != currentSecond) {
            currentSecond = now;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond <= MAX_LINES_PER_SECOND || kind.severity().compareTo(EventSeverity.WARNING) >= 0;
    }

    private static void appendQuoted(StringBuilder line, String text) {
        line.append('"');
        JsonStringEncoder.getInstance().quoteAsString(text, line);
        line.append('"');
    }

    @SuppressWarnings("ReferenceEquality")
    private void writeLines() {
        try {
            while (true) {
                String line = pendingLines.take();
                if (line == END_MARKER) {
                    return;
                }
                StringBuilder lines = new StringBuilder(line);
                boolean ended = false;
                for (String next = pendingLines.poll();
                        next != null && !ended;
                        next = ended ? null : pendingLines.poll()) {
                    ended = next == END_MARKER;
                    lines.append(ended ? "" : next);
                }
                long missing = droppedLines.getAndSet(0);
                if (missing > 0) {
                    lines.append("{\"kind\":\"LINES_LEFT_OUT\",\"count\":")
                            .append(missing)
                            .append("}\n");
                }
                output.write(lines.toString().getBytes(StandardCharsets.UTF_8));
                output.flush();
                if (ended) {
                    return;
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (java.io.IOException closed) {
            // Nobody reads the log any more; there is no place left to say so.
        }
    }

    /** Writes what waits, and ends. */
    @Override
    public void close() {
        if (pendingLines.offer(END_MARKER)) {
            try {
                writer.join(500);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
