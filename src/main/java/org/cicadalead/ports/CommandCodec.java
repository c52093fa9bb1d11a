package org.cicadalead.ports;

import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;

/** Encodes commands as log records and decodes them. Implementations are safe for use by several threads. */
public interface CommandCodec {
    /** Encodes a command; equal commands yield equal bytes. */
    byte[] encode(CommandEnvelope envelope);

    /** Decodes a record; empty if it is damaged, of an unknown kind or of a later format. */
    Optional<CommandEnvelope> decode(byte[] payload);
}
