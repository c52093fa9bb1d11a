import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, one line for each event. Safe for use by several threads. */
final class Recorder implements AutoCloseable {
    private final PrintWriter writer;
    private final long startedAt = System.nanoTime();

    Recorder(Path file) throws IOException {
        writer = new PrintWriter(file.toFile(), "UTF-8");
    }

    /** Returns the milliseconds since the start of the script. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void line(String text) {
        writer.printf("%7d ms  %s%n", now(), text);
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
