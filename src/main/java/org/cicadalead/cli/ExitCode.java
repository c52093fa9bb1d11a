package org.cicadalead.cli;

/** Exit codes of the command line; stable. */
public enum ExitCode {
    /** The command did what was asked. */
    DONE(0),
    /** The command ran and what it was asked for failed. */
    FAILED(1),
    /** The arguments, the settings or the configuration folder cannot be used. */
    BAD_USAGE(2);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number. */
    public int code() {
        return code;
    }
}
