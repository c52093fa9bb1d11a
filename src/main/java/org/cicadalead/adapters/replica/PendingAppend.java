package org.cicadalead.adapters.replica;

import java.util.concurrent.CompletableFuture;
import org.cicadalead.logic.append.AppendClass;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.CommandIdentifier;

/**
 * A command that is being appended to the log. It ends exactly once: with the outcome of the fold, as not appended
 * (only if no attempt can have reached the log, and none is made afterwards), or with an unknown outcome. Safe for use
 * by several threads.
 */
final class PendingAppend implements Comparable<PendingAppend> {
    private final CommandIdentifier identifier;
    private final byte[] payload;
    private final AppendClass appendClass;
    private final long sequence;
    private final CompletableFuture<CommandOutcome> outcome = new CompletableFuture<>();
    private int attempts;
    private boolean mayHaveBeenAppended;
    private boolean sending;

    PendingAppend(CommandIdentifier identifier, byte[] payload, AppendClass appendClass, long sequence) {
        this.identifier = identifier;
        this.payload = payload;
        this.appendClass = appendClass;
        this.sequence = sequence;
    }

    CommandIdentifier identifier() {
        return identifier;
    }

    byte[] payload() {
        return payload;
    }

    AppendClass appendClass() {
        return appendClass;
    }

    CompletableFuture<CommandOutcome> outcome() {
        return outcome;
    }

    /** Records the start of an attempt; returns false when the command has already ended. */
    synchronized boolean startSending() {
        if (outcome.isDone()) {
            return false;
        }
        attempts++;
        sending = true;
        return true;
    }

    /**
     * Records the end of an attempt and whether it may have appended the command; returns the number of attempts so
     * far.
     */
    synchronized int finishSending(boolean attemptMayHaveAppended) {
        sending = false;
        mayHaveBeenAppended |= attemptMayHaveAppended;
        return attempts;
    }

    /**
     * Ends the command without an outcome of the fold: as unknown if an attempt may have reached the log, otherwise as
     * not appended.
     */
    synchronized void endWithoutOutcome(String detail) {
        ErrorKind kind =
                mayHaveBeenAppended || sending ? ErrorKind.LOG_OUTCOME_UNKNOWN : ErrorKind.PLATFORM_UNAVAILABLE;
        outcome.completeExceptionally(new CicadaleadException(kind, detail));
    }

    @Override
    public int compareTo(PendingAppend other) {
        int byClass = appendClass.compareTo(other.appendClass);
        return byClass != 0 ? byClass : Long.compare(sequence, other.sequence);
    }
}
