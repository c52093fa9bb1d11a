package org.cicadalead.adapters.job;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cicadalead.adapters.administration.AdministrationServer;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;

/**
 * HTTP routes for long jobs: {@code POST /jobs}, {@code GET /jobs/IDENTIFIER} and {@code DELETE /jobs/IDENTIFIER} for
 * callers, and a list and cancellations for operators. No thread of the callers' port blocks on the log: a small thread
 * pool sends the response once the record has been read back. Safe for use by several threads.
 */
public final class JobRoutes implements HttpHandler, AutoCloseable {
    /** Path of the job routes on the callers' port. */
    public static final String JOBS_PATH = "/jobs";

    private static final String OFFSET_PARAMETER = "accepted-at";
    private static final int RESPONSE_THREADS = 8;
    private static final int ACCEPTED = 202;
    private static final int OK = 200;
    private static final int MAX_LISTED_JOBS = 10_000;

    private final Supplier<SharedState> state;
    private final JobSubmitter submitter;
    private final EventSink events;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ExecutorService responseExecutor = Executors.newFixedThreadPool(RESPONSE_THREADS, runnable -> {
        Thread thread = new Thread(runnable, "job-answer");
        thread.setDaemon(true);
        return thread;
    });

    /** Creates the routes. */
    public JobRoutes(Supplier<SharedState> state, JobSubmitter submitter, EventSink events) {
        this.state = state;
        this.submitter = submitter;
        this.events = events;
    }

    /** Returns the number of submissions and cancellations without a response yet. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Registers the operators' routes. */
    public void addTo(AdministrationServer server) {
        server.addRoute("GET", JOBS_PATH, this::listJobs);
        server.addRoute("POST", "/job-cancellations", this::cancelForOperator);
    }

    /** Handles a request of a caller. */
    @Override
    public void handle(HttpExchange exchange) throws IOException {
        try {
            if (state.get().configuration().version() == 0) {
                throw new CicadaleadException(ErrorKind.NOT_READY, "No configuration has been published yet");
            }
            dispatch(exchange);
        } catch (CicadaleadException failure) {
            respondWithProblem(exchange, failure);
        }
    }

    @Override
    public void close() {
        responseExecutor.shutdown();
    }

    private void dispatch(HttpExchange exchange) throws IOException {
        Optional<JobIdentifier> job = parseIdentifier(exchange);
        String method = exchange.getRequestMethod();
        if (job.isEmpty() && method.equals("POST")) {
            submit(exchange);
        } else if (job.isPresent() && method.equals("GET")) {
            JobState foundJob = find(exchange, job.get());
            try (exchange) {
                JsonExchange.respond(exchange, JobView.of(foundJob));
            }
        } else if (job.isPresent() && method.equals("DELETE")) {
            cancel(exchange, job.get());
        } else {
            throw new CicadaleadException(
                    ErrorKind.METHOD_NOT_ALLOWED, "Use POST /jobs, or GET or DELETE /jobs/IDENTIFIER");
        }
    }

    private void submit(HttpExchange exchange) throws IOException {
        JobSubmission submission = JobRequestReader.read(exchange);
        respondWhenComplete(exchange, submitter.submit(submission), submission.job(), outcome -> {
            if (outcome instanceof CommandOutcome.Accepted accepted) {
                exchange.getResponseHeaders()
                        .set(
                                "Location",
                                JOBS_PATH + "/" + submission.job() + "?" + OFFSET_PARAMETER + "=" + accepted.offset());
            }
        });
    }

    private void cancel(HttpExchange exchange, JobIdentifier identifier) {
        JobState job = find(exchange, identifier);
        TeamName team = JobRequestReader.readTeam(exchange.getRequestHeaders());
        if (!job.submission().team().equals(team)) {
            throw new CicadaleadException(
                    ErrorKind.UNKNOWN_TEAM,
                    "The job belongs to the team '" + job.submission().team() + "'");
        }
        respondWhenComplete(exchange, submitter.cancel(identifier), identifier, outcome -> {});
    }

    /**
     * Finds a job. If this process has not folded the job's record yet, the request fails with {@code NOT_READY} rather
     * than with {@code UNKNOWN_JOB}.
     */
    private JobState find(HttpExchange exchange, JobIdentifier job) {
        SharedState current = state.get();
        Optional<JobState> foundJob = current.jobs().find(job);
        if (foundJob.isPresent()) {
            return foundJob.get();
        }
        long acceptedAt = JsonExchange.queryParameter(exchange, OFFSET_PARAMETER)
                .filter(text -> text.matches("[0-9]{1,18}"))
                .map(Long::parseLong)
                .orElse(0L);
        if (acceptedAt > current.offset()) {
            throw new CicadaleadException(ErrorKind.NOT_READY, "This entry process has not read the job's record yet");
        }
        throw new CicadaleadException(ErrorKind.UNKNOWN_JOB, "There is no job '" + job + "', or it ended long ago");
    }

    private void respondWhenComplete(
            HttpExchange exchange,
            CompletableFuture<CommandOutcome> pending,
            JobIdentifier job,
            Consumer<CommandOutcome> headers) {
        inFlight.incrementAndGet();
        pending.whenCompleteAsync(
                (outcome, failure) -> {
                    try {
                        if (failure != null) {
                            throw failure instanceof CicadaleadException cicadaleadFailure
                                    ? cicadaleadFailure
                                    : new CicadaleadException(ErrorKind.INTERNAL, failure.toString(), failure);
                        }
                        requireAccepted(outcome);
                        headers.accept(outcome);
                        respondWithJob(exchange, job);
                    } catch (CicadaleadException rejection) {
                        events.emit(
                                EventKind.JOB_REFUSED,
                                Optional.of(job.value()),
                                EventDetail.of("kind", rejection.kind().code()));
                        respondWithProblem(exchange, rejection);
                    } finally {
                        inFlight.decrementAndGet();
                    }
                },
                responseExecutor);
    }

    private void respondWithJob(HttpExchange exchange, JobIdentifier job) {
        JobState foundJob = state.get()
                .jobs()
                .find(job)
                .orElseThrow(() -> new CicadaleadException(ErrorKind.UNKNOWN_JOB, "The job ended long ago"));
        int status = foundJob.phase() == JobPhase.CANCELLED ? OK : ACCEPTED;
        try (exchange) {
            JsonExchange.respond(exchange, status, JobView.of(foundJob));
        } catch (IOException disconnected) {
            exchange.close();
        }
    }

    private static void respondWithProblem(HttpExchange exchange, CicadaleadException failure) {
        // The request body may not have been read; the connection cannot be reused in that case.
        exchange.getResponseHeaders().set("Connection", "close");
        try (exchange) {
            JsonExchange.respondProblem(exchange, failure.kind(), failure.getMessage());
        } catch (IOException disconnected) {
            exchange.close();
        }
    }

    private static void requireAccepted(CommandOutcome outcome) {
        if (outcome instanceof CommandOutcome.Rejected rejected) {
            throw new CicadaleadException(rejected.kind(), rejected.detail());
        }
    }

    private static Optional<JobIdentifier> parseIdentifier(HttpExchange exchange) {
        String path = exchange.getRequestURI().getPath();
        String suffix = path.substring(Math.min(path.length(), JOBS_PATH.length()));
        if (suffix.isEmpty() || suffix.equals("/")) {
            return Optional.empty();
        }
        try {
            return Optional.of(new JobIdentifier(suffix.substring(1)));
        } catch (IllegalArgumentException invalid) {
            throw new CicadaleadException(ErrorKind.UNKNOWN_JOB, invalid.getMessage(), invalid);
        }
    }

    private void listJobs(HttpExchange exchange) throws IOException {
        Optional<JobIdentifier> identifier = parseIdentifier(exchange);
        if (identifier.isPresent()) {
            JsonExchange.respond(exchange, JobView.of(find(exchange, identifier.get())));
            return;
        }
        List<JobView> views = Stream.concat(
                        state.get().jobs().unfinished().values().stream(), state.get().jobs().ended().values().stream())
                .limit(MAX_LISTED_JOBS)
                .map(JobView::of)
                .toList();
        JsonExchange.respond(exchange, views);
    }

    private void cancelForOperator(HttpExchange exchange) throws IOException {
        JobIdentifier job = JsonExchange.readBody(exchange, JobIdentifier.class);
        requireAccepted(submitter.cancel(job).join());
        JsonExchange.respond(exchange, JobView.of(find(exchange, job)));
    }
}
