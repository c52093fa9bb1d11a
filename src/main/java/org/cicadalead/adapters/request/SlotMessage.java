package org.cicadalead.adapters.request;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ServiceName;

/** Messages about slots between entry processes, on the topic {@code SLOT}. */
final class SlotMessage {
    private SlotMessage() {}

    /** Action that a process requests from another one. */
    enum Verb {
        /** Requests the report of the receiver. */
        REPORT,
        /** Announces that the sender stops and places no more work. */
        IDLE,
        /** Requests slots of a service's workers. */
        BORROW,
        /** Returns borrowed slots. */
        RETURN,
        /**
         * Cancels a request for slots whose reply was lost: its slots are returned, or it is not granted if it arrives
         * later.
         */
        CANCEL
    }

    /**
     * A request. Immutable.
     *
     * @param verb requested action
     * @param number number of the request for slots; each process counts its own
     * @param service service for which slots are borrowed
     * @param count maximum number of slots to borrow
     * @param hosts hosts of the slots that are returned, one entry for each slot
     */
    record SlotRequest(Verb verb, long number, Optional<ServiceName> service, int count, List<HostName> hosts) {
        static SlotRequest of(Verb verb) {
            return new SlotRequest(verb, 0, Optional.empty(), 0, List.of());
        }

        static SlotRequest borrow(long number, ServiceName service, int count) {
            return new SlotRequest(Verb.BORROW, number, Optional.of(service), count, List.of());
        }

        static SlotRequest giveBack(long number, List<HostName> hosts) {
            return new SlotRequest(Verb.RETURN, number, Optional.empty(), 0, hosts);
        }

        static SlotRequest cancel(long number) {
            return new SlotRequest(Verb.CANCEL, number, Optional.empty(), 0, List.of());
        }
    }

    /**
     * A reply. Immutable.
     *
     * @param drainedOffset newest offset of the shared state whose shares the replying process applies, without using
     *     any slot above them
     * @param lent hosts of the slots that were lent, one entry for each slot
     */
    record SlotReply(long drainedOffset, List<HostName> lent) {}
}
