package org.cicadalead.model.command;

import org.cicadalead.model.error.ErrorKind;

/** What the fold made of a command; the same in every process. Implementations are immutable. */
public sealed interface CommandOutcome {
    /**
     * The command took effect.
     *
     * @param offset the offset of its record, the version of what it changed
     */
    record Accepted(long offset) implements CommandOutcome {}

    /**
     * The command changed nothing.
     *
     * @param kind the kind of error
     * @param detail what was in the way, and what to do
     */
    record Rejected(ErrorKind kind, String detail) implements CommandOutcome {}

    /** The same command stands earlier in the log; its outcome is that record's. */
    record Duplicate() implements CommandOutcome {}
}
