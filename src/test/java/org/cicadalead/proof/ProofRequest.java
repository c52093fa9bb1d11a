package org.cicadalead.proof;

import java.util.Optional;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.logic.request.RequestProgress;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.request.RequestTerms;

/** One request of a caller, with what hosts and the caller saw of it. */
final class ProofRequest {
    private final int number;
    private final RequestTerms terms;
    private RequestProgress progress;
    private Optional<HostRoute> chosen = Optional.empty();
    private Optional<Execution> told = Optional.empty();
    private long sendAt;
    private int runs;

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

    boolean idempotent() {
        return terms.idempotent();
    }

    RequestProgress progress() {
        return progress;
    }

    void setProgress(RequestProgress newProgress) {
        progress = newProgress;
    }

    Optional<HostRoute> chosen() {
        return chosen;
    }

    long sendAt() {
        return sendAt;
    }

    void choose(Optional<HostRoute> host, long newSendAt) {
        chosen = host;
        sendAt = newSendAt;
    }

    int runs() {
        return runs;
    }

    void run() {
        runs++;
    }

    boolean isOver() {
        return told.isPresent();
    }

    Optional<Execution> told() {
        return told;
    }

    boolean isRefused() {
        return told.filter(Execution.NOT_RUN::equals).isPresent();
    }

    void tell(Execution execution) {
        told = Optional.of(execution);
    }

    @Override
    public String toString() {
        return "request " + number + (terms.idempotent() ? " (idempotent)" : "");
    }
}
