package org.cicadalead.adapters.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.PeerTopic;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {
    private static final PeerIdentity IDENTITY = new PeerIdentity(
            new ProcessIdentifier("process-1"), new ZoneName("east"), new NetworkAddress("127.0.0.1", 20201));

    @Test
    void encodesNewsOfMembersAndNonMembers() {
        List<PeerMessage.PeerNews> news = List.of(
                new PeerMessage.PeerNews(12, Optional.empty(), 3, 4_000, 1_500),
                new PeerMessage.PeerNews(0, Optional.of(IDENTITY), 9, 4_700, 0));
        PeerMessage.Heartbeat sent = new PeerMessage.Heartbeat(
                7, 4_500, Map.of(), Optional.of(List.of(new ZoneName("east"), new ZoneName("west"))), news);
        assertEquals(sent, roundTrip(sent));
    }

    @Test
    void encodesParts() {
        PeerMessage.Heartbeat sent = new PeerMessage.Heartbeat(
                7, 4_500, Map.of(PeerTopic.LOAD, new byte[] {1, 2}), Optional.empty(), List.of());
        PeerMessage.Heartbeat received = (PeerMessage.Heartbeat) roundTrip(sent);
        assertArrayEquals(new byte[] {1, 2}, received.parts().get(PeerTopic.LOAD));
    }

    @Test
    void rejectsTrailingBytes() {
        byte[] bytes = PeerMessageCodec.encode(new PeerMessage.Failure(1, true, "detail"));
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(MalformedFrameException.class, () -> PeerMessageCodec.decode(longer, longer.length));
    }

    @Property(seed = "4003", tries = 2_000)
    void decodesOrRejectsAnyBytes(@ForAll @Size(min = 1, max = 200) byte[] bytes) {
        try {
            PeerMessageCodec.decode(bytes, bytes.length);
        } catch (MalformedFrameException rejected) {
            assertEquals(MalformedFrameException.class, rejected.getClass());
        }
    }

    @Property(seed = "4004", tries = 2_000)
    void decodesOrRejectsDamagedHeartbeat(@ForAll int position, @ForAll byte value) {
        byte[] bytes = PeerMessageCodec.encode(new PeerMessage.Heartbeat(
                7,
                4_500,
                Map.of(PeerTopic.LOAD, new byte[20]),
                Optional.of(List.of(new ZoneName("east"))),
                List.of(new PeerMessage.PeerNews(0, Optional.of(IDENTITY), 9, 4_700, 0))));
        bytes[Math.floorMod(position, bytes.length)] = value;
        decodesOrRejectsAnyBytes(bytes);
    }

    private static PeerMessage roundTrip(PeerMessage message) {
        byte[] bytes = PeerMessageCodec.encode(message);
        return PeerMessageCodec.decode(bytes, bytes.length);
    }
}
