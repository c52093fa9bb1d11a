package org.cicadalead.cli;

/** Starts the command line. Stateless. */
public final class Main {
    private Main() {}

    /** Runs one command and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(arguments.length);
    }
}
