package org.cicadalead.adapters.work;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.logic.work.StopCause;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.event.EventSeverity;

/**
 * Writes one line of JSON for each decision. Callers never block: lines wait in a bounded queue for a writer thread,
 * and lines that exceed a limit are dropped, counted and reported. Safe for use by several threads.
 */
public final class DecisionLog implements AutoCloseable {
    /** Maximum number of queued lines; at 250 bytes per line this is half a megabyte. */
    private static final int MAX_PENDING_LINES = 2_000;

    /** Lines per second above which only warnings are written, so that writing uses under a hundredth of a core. */
    private static final int MAX_LINES_PER_SECOND = 400;

    /** Lines of details per second that are written, so that those of many requests leave room for other lines. */
    private static final int MAX_DETAIL_LINES_PER_SECOND = 200;

    /** Queued to stop the writer thread; a new object, as it is compared by reference. */
    private static final String END_MARKER = new String("end");

    private final BlockingQueue<String> pendingLines = new ArrayBlockingQueue<>(MAX_PENDING_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final OutputStream output;
    private final String process;
    private final WorkMetrics metrics;
    private final Thread writer;
    private long currentSecond;
    private int linesInSecond;
    private int detailLinesInSecond;

    /** Creates the log of a process and starts its writer thread. */
    public DecisionLog(OutputStream output, String process, WorkMetrics metrics) {
        this.output = output;
        this.metrics = metrics;
        this.process = process;
        this.writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns the metrics of the process. */
    WorkMetrics metrics() {
        return metrics;
    }

    /** Counts a decision and queues its line; drops the line if a limit is exceeded. */
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

    /** Counts an order to stop a run by its cause. */
    void countStop(StopCause cause) {
        metrics.countStop(cause);
    }

    private synchronized boolean admit(EventKind kind) {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != currentSecond) {
            currentSecond = now;
            linesInSecond = 0;
            detailLinesInSecond = 0;
        }
        if (kind.severity() == EventSeverity.DETAIL) {
            if (detailLinesInSecond == MAX_DETAIL_LINES_PER_SECOND) {
                return false;
            }
            detailLinesInSecond++;
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
                boolean endReached = false;
                for (String nextLine = pendingLines.poll();
                        nextLine != null && !endReached;
                        nextLine = endReached ? null : pendingLines.poll()) {
                    endReached = nextLine == END_MARKER;
                    lines.append(endReached ? "" : nextLine);
                }
                long droppedCount = droppedLines.getAndSet(0);
                if (droppedCount > 0) {
                    lines.append("{\"kind\":\"LINES_LEFT_OUT\",\"count\":")
                            .append(droppedCount)
                            .append("}\n");
                }
                output.write(lines.toString().getBytes(StandardCharsets.UTF_8));
                output.flush();
                if (endReached) {
                    return;
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (java.io.IOException outputClosed) {
            // The output is closed, so the failure cannot be logged either.
        }
    }

    /** Writes the queued lines and stops the writer thread; waits for it for at most 500 milliseconds. */
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
