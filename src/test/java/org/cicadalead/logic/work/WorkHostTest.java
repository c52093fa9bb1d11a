package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.cicadalead.model.work.HostListing;
import org.junit.jupiter.api.Test;

class WorkHostTest {
    /** Otherwise a host that came back counts as one that its rack's loss spared. */
    @Test
    void countsProcessThatFollowsAnEndedOneAsHeardFromItsOwnFirstReply() {
        WorkHost host = new WorkHost(WorkFixtures.host("host", WorkFixtures.BUSY, "rack"), 0);
        host.applyListing(new HostListing(1, 0, List.of(), List.of()), 10);
        host.end();
        host.applyListing(new HostListing(2, 0, List.of(), List.of()), 100);
        assertEquals(100, host.heardSince);
    }
}
