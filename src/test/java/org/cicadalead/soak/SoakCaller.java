package org.cicadalead.soak;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import org.cicadalead.platform.LoopbackJobs;
import org.cicadalead.soak.CallerConnection.Answer;
import org.cicadalead.soak.CallerConnection.Ending;
import org.cicadalead.soak.JobRecords.Fact;

/**
 * A caller that keeps its connection until an answer asks it to leave or the connection ends, and then opens one to any
 * process, also to one that stops. For use by one thread.
 */
final class SoakCaller implements Runnable {
    private static final int MAX_PAUSE_MILLISECONDS = Integer.getInteger("cicadalead.soak.pause", 30);
    private static final long RECONNECT_PAUSE_NANOSECONDS = 20_000_000;
    private static final int MAX_SUBMISSIONS = 5;
    private static final int MAX_TASKS = 2;
    private static final int MIN_RUN_MILLISECONDS = 50;
    private static final int MAX_RUN_MILLISECONDS = 400;
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Cumulative shares of the requests, in percent. */
    private static final int SUBMISSIONS = 30;

    private static final int QUERIES = 70;
    private static final int COUNTS = 97;
    private static final int PERCENT = 100;

    private final Random random;
    private final List<SoakProcess> processes;
    private final JobRecords jobs;
    private final RequestRecords requests;
    private Optional<CallerConnection> connection = Optional.empty();
    private SoakProcess connected;
    private volatile boolean isFinished;

    SoakCaller(long seed, List<SoakProcess> processes, JobRecords jobs, RequestRecords requests) {
        this.random = new Random(seed);
        this.processes = processes;
        this.jobs = jobs;
        this.requests = requests;
        this.connected = processes.get(0);
    }

    /** Ends the caller after its current request. */
    void finish() {
        isFinished = true;
    }

    @Override
    public void run() {
        while (!isFinished) {
            sendNext();
            if (connection.isPresent() && !connection.get().isOpenAfter(random.nextInt(MAX_PAUSE_MILLISECONDS))) {
                disconnect();
            }
        }
        disconnect();
    }

    private void sendNext() {
        int choice = random.nextInt(PERCENT);
        String recent = jobs.pickRecent(random);
        if (choice < SUBMISSIONS || recent.isEmpty()) {
            submit();
        } else if (choice < QUERIES) {
            send("GET", recent, "");
        } else if (choice < COUNTS) {
            send("GET", "", "");
        } else {
            jobs.add(recent, Fact.CANCELLED);
            send("DELETE", recent, "");
        }
    }

    private void submit() {
        String job = String.format("%016x", random.nextLong());
        int runMilliseconds = MIN_RUN_MILLISECONDS + random.nextInt(MAX_RUN_MILLISECONDS - MIN_RUN_MILLISECONDS);
        String body = LoopbackJobs.createBody(1 + random.nextInt(MAX_TASKS), runMilliseconds);
        Fact fact = Fact.UNCERTAIN;
        for (int attempt = 0; attempt < MAX_SUBMISSIONS && fact == Fact.UNCERTAIN && !isFinished; attempt++) {
            Optional<Answer> answer = send("POST", job, body);
            if (answer.isPresent()) {
                fact = toFact(answer.get());
                jobs.add(job, fact);
            }
        }
    }

    private static Fact toFact(Answer answer) {
        return switch (answer.status()) {
            case OK -> Fact.ACCEPTED;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> Fact.REJECTED;
            default -> Fact.UNCERTAIN;
        };
    }

    /** Sends a request; the result is empty when no process accepted a connection. */
    Optional<Answer> send(String method, String job, String body) {
        if (connection.isEmpty()) {
            connect();
        }
        if (connection.isEmpty()) {
            LockSupport.parkNanos(RECONNECT_PAUSE_NANOSECONDS);
            return Optional.empty();
        }
        String path = LoopbackJobs.QUEUE_PATH + job;
        Answer answer = connection.get().send(method, path, body);
        requests.add(method, path, connected, answer);
        if (answer.isLast() || answer.ending() != Ending.ANSWERED) {
            disconnect();
        }
        return Optional.of(answer);
    }

    private void connect() {
        connected = processes.get(random.nextInt(processes.size()));
        try {
            connection = Optional.of(new CallerConnection(connected.ip(), SoakProcess.FRONTEND_PORT));
        } catch (IOException refused) {
            connection = Optional.empty();
        }
    }

    private void disconnect() {
        connection.ifPresent(CallerConnection::close);
        connection = Optional.empty();
    }
}
