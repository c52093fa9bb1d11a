package org.cicadalead.adapters.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.ConfigurationCommand.Publish;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.ports.PlatformLog.LogRecord;

/**
 * Computes the expected configuration after each offset from the list of all records ever stored: the first record of
 * each identifier counts, and a publication is accepted if every file has the version that it replaces.
 */
final class AcceptedCommandsOracle {
    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();
    private final List<Map<String, String>> digestsAfter = new ArrayList<>(List.of(Map.of()));
    private final List<Long> versionAfter = new ArrayList<>(List.of(0L));
    private final Map<CommandIdentifier, Boolean> acceptedByIdentifier = new HashMap<>();
    private final Set<CommandIdentifier> seenIdentifiers = new HashSet<>();
    private final Map<String, Long> versions = new TreeMap<>();
    private Map<String, String> digests = new TreeMap<>();

    /** Processes the records that are new since the last call. */
    void addNewRecords(List<LogRecord> allRecords) {
        for (LogRecord record : allRecords.subList(digestsAfter.size() - 1, allRecords.size())) {
            long version = versionAfter.get(versionAfter.size() - 1);
            boolean changed = codec.decode(record.payload())
                    .filter(envelope -> seenIdentifiers.add(envelope.identifier()))
                    .filter(envelope -> applyPublication(record.offset(), envelope))
                    .isPresent();
            digestsAfter.add(digests);
            versionAfter.add(changed ? record.offset() : version);
        }
    }

    /** Returns the digest of each file's text after an offset. */
    Map<String, String> digestsAfter(long offset) {
        return digestsAfter.get((int) offset);
    }

    /** Returns the version of the configuration after an offset. */
    long versionAfter(long offset) {
        return versionAfter.get((int) offset);
    }

    /** Returns whether a publication was accepted; empty if it is not in the log. */
    Optional<Boolean> wasAccepted(CommandIdentifier identifier) {
        return Optional.ofNullable(acceptedByIdentifier.get(identifier));
    }

    private boolean applyPublication(long offset, CommandEnvelope envelope) {
        if (!(envelope.command() instanceof Publish publication)) {
            return false;
        }
        boolean accepted = publication.changes().stream()
                .allMatch(change -> versions.getOrDefault(change.fileName(), 0L) == change.replacedVersion());
        acceptedByIdentifier.put(envelope.identifier(), accepted);
        if (accepted) {
            digests = new TreeMap<>(digests);
            publication.changes().forEach(change -> applyChange(offset, change));
        }
        return accepted;
    }

    private void applyChange(long offset, UnitChange change) {
        if (change.unit().isEmpty()) {
            digests.remove(change.fileName());
            versions.remove(change.fileName());
            return;
        }
        digests.put(change.fileName(), change.unit().get().textDigest());
        versions.put(change.fileName(), offset);
    }
}
