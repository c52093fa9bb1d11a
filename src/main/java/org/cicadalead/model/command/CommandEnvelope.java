package org.cicadalead.model.command;

import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;

/**
 * A command as it is stored in the log. Immutable.
 *
 * @param formatVersion version of the record format
 * @param identifier identifier of the command; the fold drops a second record with the same identifier
 * @param writer the process that appended it
 * @param readOffset offset of the state on which the writer decided; the fold rejects a command that was decided too
 *     many offsets ago, so that a late duplicate of a command that is no longer remembered cannot take effect
 * @param command the command
 */
public record CommandEnvelope(
        int formatVersion, CommandIdentifier identifier, ProcessIdentifier writer, long readOffset, Command command) {
    /** Format version that this program writes, and the latest one that it reads. */
    public static final int CURRENT_FORMAT = 1;

    /** Creates an envelope of a writer that has not read any record yet. */
    public CommandEnvelope(int formatVersion, CommandIdentifier identifier, ProcessIdentifier writer, Command command) {
        this(formatVersion, identifier, writer, 0, command);
    }
}
