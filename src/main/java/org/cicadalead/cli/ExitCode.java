package org.cicadalead.cli;

/** The exit codes of the command line; they never change. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command ran, but the requested operation failed. */
    FAILED(1),
    /** The arguments, the settings or the configuration folder cannot be used. */
    BAD_USAGE(2);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number that the program exits with. */
    public int code() {
        return code;
    }
}
