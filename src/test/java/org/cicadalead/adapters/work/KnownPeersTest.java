package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests to addresses that are none, to the process itself, or to processes long gone. */
class KnownPeersTest {
    private final KnownPeers peers = new KnownPeers("10.0.0.1:70");

    @Test
    void ignoresItselfAndWhatIsNoAddress() {
        for (String text : List.of(
                "10.0.0.1:70",
                "",
                "host:1",
                "999.0.0.1:1",
                "10.0.0.2:99999",
                "10.0.0.2",
                "1.2.3:4",
                "10.0.0.2:0",
                "1.2.3.4.5:6")) {
            peers.add(text);
        }
        peers.add("10.0.0.2:70");
        assertEquals(List.of("10.0.0.2:70"), peers.choose(6, new Random(1), ""));
        assertEquals(List.of(), peers.choose(6, new Random(1), "10.0.0.2:70"));
    }

    @Test
    void forgetsTheAddressesHeardOfLongestAgo() {
        for (int number = 2; number < 100; number++) {
            peers.add("10.0.0." + number + ":70");
        }
        List<String> chosen = peers.choose(100, new Random(1), "");
        assertEquals(32, chosen.size());
        assertEquals(false, chosen.contains("10.0.0.2:70"));
        assertEquals(6, Set.copyOf(peers.choose(6, new Random(1), "")).size());
    }
}
