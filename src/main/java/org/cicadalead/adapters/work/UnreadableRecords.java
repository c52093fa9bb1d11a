package org.cicadalead.adapters.work;

import java.util.HashSet;
import java.util.Set;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;

/**
 * Reports records that cannot be read: once for each key until it can be read again, and for a limited number of keys
 * at a time, so that a writer of many such records does not fill the log. For use by one thread.
 */
final class UnreadableRecords {
    /** Maximum number of keys that are reported at a time. */
    private static final int MAX_KEYS = 100;

    /** Maximum length of a key in the report, in characters. */
    private static final int MAX_KEY_CHARACTERS = 100;

    private final DecisionLog log;
    private final Set<String> reportedKeys = new HashSet<>();

    UnreadableRecords(DecisionLog log) {
        this.log = log;
    }

    /** Handles that the newest record of a key was read; reports it unless it could be read or was reported. */
    void onRead(String key, boolean readable) {
        if (readable) {
            reportedKeys.remove(key);
        } else if (reportedKeys.size() < MAX_KEYS && reportedKeys.add(key)) {
            log.emit(
                    EventKind.RECORD_UNREADABLE,
                    EventDetail.of("key", key.substring(0, Math.min(key.length(), MAX_KEY_CHARACTERS))));
        }
    }
}
