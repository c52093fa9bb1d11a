package org.cicadalead.adapters.replica;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.CommandCodec;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PlatformLog.LogRecord;

/**
 * Folds records from the log and from other processes, and keeps the newest ones to relay them. A record is folded and
 * kept atomically, so that the kept records have no gap regardless of the source of each record. Safe for use by
 * several threads.
 */
final class RecordFolder {
    private final CommandCodec codec;
    private final SharedStateReplica replica;
    private final RecentRecords recentRecords = new RecentRecords();
    private final EventSink events;

    RecordFolder(CommandCodec codec, SharedStateReplica replica, EventSink events) {
        this.codec = codec;
        this.replica = replica;
        this.events = events;
    }

    /** Folds the record that follows the state and returns whether it did; an older record changes nothing. */
    synchronized boolean fold(LogRecord record) {
        Optional<CommandEnvelope> envelope = codec.decode(record.payload());
        if (!replica.apply(record.offset(), envelope)) {
            return false;
        }
        recentRecords.add(record);
        if (envelope.isEmpty()) {
            events.emit(EventKind.RECORD_UNREADABLE, Optional.empty(), EventDetail.of("offset", record.offset()));
        }
        return true;
    }

    /** Jumps to a newer state and returns whether it did; a state that is not newer changes nothing. */
    synchronized boolean jumpTo(SharedState newerState, String source) {
        if (!replica.jumpTo(newerState)) {
            return false;
        }
        recentRecords.resetTo(newerState.offset());
        events.emit(EventKind.STATE_JUMPED, Optional.empty(), EventDetail.of("from", source));
        return true;
    }

    /** Returns kept records from an offset on, up to a number of bytes; empty when that offset is no longer kept. */
    Optional<List<LogRecord>> readKeptRecords(long offset, int maximumBytes) {
        return recentRecords.readFrom(offset, maximumBytes);
    }

    /** Decodes a record without folding it. */
    Optional<CommandEnvelope> decode(LogRecord record) {
        return codec.decode(record.payload());
    }
}
