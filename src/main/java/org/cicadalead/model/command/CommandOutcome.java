package org.cicadalead.model.command;

import org.cicadalead.model.error.ErrorKind;

/** Outcome of folding a command, which is the same in every process. Implementations are immutable. */
public sealed interface CommandOutcome {
    /**
     * The command took effect.
     *
     * @param offset offset of its record, which becomes the version of what it changed
     */
    record Accepted(long offset) implements CommandOutcome {}

    /**
     * The command was rejected and changed nothing.
     *
     * @param kind the kind of error
     * @param detail why the command was rejected and what the caller can do
     */
    record Rejected(ErrorKind kind, String detail) implements CommandOutcome {}

    /** The same command is stored earlier in the log; that record determines its outcome. */
    record Duplicate() implements CommandOutcome {}
}
