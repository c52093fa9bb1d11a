package org.cicadalead.adapters.request;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ServiceName;

/** What entry processes say to each other about slots, on the topic {@code SLOT}. */
final class SlotMessage {
    private SlotMessage() {}

    /** What a process asks another one. */
    enum Verb {
        /** Asks for the answerer's report. */
        REPORT,
        /** Says that the sender stops and places no work any more. */
        IDLE,
        /** Asks for slots of a service's workers. */
        BORROW,
        /** Gives slots back. */
        RETURN,
        /** Gives back, or forbids, whatever a borrowing was answered with; its answer was lost. */
        CANCEL
    }

    /**
     * A question. Immutable.
     *
     * @param verb what is asked
     * @param number number of the borrowing; each process counts its own
     * @param service the service to borrow for
     * @param count slots to borrow at most
     * @param hosts hosts of the slots that are given back, one entry for each slot
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
     * An answer. Immutable.
     *
     * @param drainedOffset newest offset of the shared state whose shares the answerer keeps to, with nothing above
     *     them
     * @param lent hosts of the slots that were lent, one entry for each slot
     */
    record SlotReply(long drainedOffset, List<HostName> lent) {}
}
