package org.cicadalead.adapters.work;

import java.util.Optional;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/** Encodes and decodes records in the formats of the platform. Implementations are safe for use by several threads. */
public interface RegistryFormat {
    /** Returns the host that registered itself with a record; empty if the record describes no usable host. */
    Optional<HostEntry> decodeHost(KeyedRecord stored);

    /** Returns the record that reports to operators whether a wave is running or completed. */
    KeyedRecord encodeWaveStatus(long wave, boolean completed);

    /** Returns the wave that a record reports as completed; empty for any other record. */
    Optional<Long> decodeCompletedWave(KeyedRecord stored);
}
