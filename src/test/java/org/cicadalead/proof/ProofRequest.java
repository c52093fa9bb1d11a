package org.cicadalead.proof;

import java.util.Optional;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.logic.request.RequestProgress;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.request.RequestTerms;

/** A caller's request, with the number of times that hosts ran it and the outcome that the caller received. */
final class ProofRequest {
    private final int number;
    private final RequestTerms terms;
    private RequestProgress progress;
    private Optional<HostRoute> chosenHost = Optional.empty();
    private Optional<Execution> reportedExecution = Optional.empty();
    private long sendAt;
    private int runCount;

    ProofRequest(int number, RequestTerms terms) {
        this.number = number;
        this.terms = terms;
        this.progress = RequestProgress.admitted(terms.idempotent());
    }

    int number() {
        return number;
    }

    RequestTerms terms() {
        return terms;
    }

    ServiceName service() {
        return terms.service();
    }

    boolean isIdempotent() {
        return terms.idempotent();
    }

    RequestProgress progress() {
        return progress;
    }

    void setProgress(RequestProgress newProgress) {
        progress = newProgress;
    }

    Optional<HostRoute> chosenHost() {
        return chosenHost;
    }

    long sendAt() {
        return sendAt;
    }

    void setChosenHost(Optional<HostRoute> host, long newSendAt) {
        chosenHost = host;
        sendAt = newSendAt;
    }

    int runCount() {
        return runCount;
    }

    void recordRun() {
        runCount++;
    }

    boolean isCompleted() {
        return reportedExecution.isPresent();
    }

    Optional<Execution> reportedExecution() {
        return reportedExecution;
    }

    boolean isRefused() {
        return reportedExecution.filter(Execution.NOT_RUN::equals).isPresent();
    }

    void report(Execution execution) {
        reportedExecution = Optional.of(execution);
    }

    @Override
    public String toString() {
        return "request " + number + (terms.idempotent() ? " (idempotent)" : "");
    }
}
