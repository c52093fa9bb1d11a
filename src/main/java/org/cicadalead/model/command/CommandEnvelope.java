package org.cicadalead.model.command;

import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;

/**
 * A command as it stands in the log. Immutable.
 *
 * @param formatVersion version of the record format
 * @param identifier identifier of the command; a second record with the same identifier is dropped by the fold
 * @param writer the process that appended it
 * @param readOffset offset of the state on which the writer decided; the fold rejects a command that was decided too
 *     many offsets ago, so that a late copy of a forgotten command cannot take effect again
 * @param command the command
 */
public record CommandEnvelope(
        int formatVersion, CommandIdentifier identifier, ProcessIdentifier writer, long readOffset, Command command) {
    /** The version that this program writes, and the latest that it reads. */
    public static final int CURRENT_FORMAT = 1;

    /** Creates a command of a writer that has read nothing yet. */
    public CommandEnvelope(int formatVersion, CommandIdentifier identifier, ProcessIdentifier writer, Command command) {
        this(formatVersion, identifier, writer, 0, command);
    }
}
