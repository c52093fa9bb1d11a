package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against two servers of one process that are to listen on the same port. */
class LoopbackPortsTest {
    private static final int PORTS = 2_000;

    @Test
    void returnsNoPortTwice() throws IOException {
        Set<Integer> ports = new HashSet<>();
        for (int count = 0; count < PORTS; count++) {
            int port = LoopbackPlatform.freePort();
            assertTrue(ports.add(port), "the port " + port + " was returned twice");
        }
    }
}
