package org.cicadalead.logic.request;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/**
 * Assigns the slots of each worker to the entry processes of its availability zone, round-robin in an order that
 * depends on the worker. For one set of members, each slot has at most one owner; processes of other zones borrow
 * slots. Stateless; safe for use by several threads.
 */
public final class SlotAssignment {
    private SlotAssignment() {}

    /** Returns the processes that own slots of hosts in a zone. */
    public static List<ProcessIdentifier> findOwners(SharedState state, ZoneName zone) {
        List<ProcessIdentifier> owners = new ArrayList<>();
        for (Member member : state.members().values()) {
            if (member.zone().equals(zone)) {
                owners.add(member.process());
            }
        }
        return owners;
    }

    /** Returns the slots of a host that a process owns as one of the given owners. */
    public static BitSet assignedSlots(HostDefinition host, List<ProcessIdentifier> owners, ProcessIdentifier process) {
        BitSet slots = new BitSet(host.slots());
        int position = RendezvousHash.order(host.name().value(), owners).indexOf(process);
        if (position < 0) {
            return slots;
        }
        for (int slot = position; slot < host.slots(); slot += owners.size()) {
            slots.set(slot);
        }
        return slots;
    }
}
