package org.cicadalead.ports;

import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;

/** Turns commands into records of the log and back. Implementations are safe for use by several threads. */
public interface CommandCodec {
    /** Encodes a command; equal commands give equal bytes. */
    byte[] encode(CommandEnvelope envelope);

    /** Decodes a record; empty when it is damaged, unknown or of a later format. */
    Optional<CommandEnvelope> decode(byte[] payload);
}
