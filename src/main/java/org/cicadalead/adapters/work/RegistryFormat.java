package org.cicadalead.adapters.work;

import java.util.Optional;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/** Forms of the records that the platform prescribes. Implementations are safe for use by several threads. */
public interface RegistryFormat {
    /** Returns the host that registered itself with a record; empty for an entry that names no usable host. */
    Optional<HostEntry> decodeHost(KeyedRecord stored);

    /** Returns the record that tells operators how far a wave is. */
    KeyedRecord encodeWaveStatus(long wave, boolean completed);

    /** Returns the wave that a record calls completed. */
    Optional<Long> decodeCompletedWave(KeyedRecord stored);
}
