package org.cicadalead.adapters.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.PeerTopic;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages as MessagePack values without field names, because heartbeats are frequent and small. Every count
 * and length is bounded during decoding. Stateless; safe for use by several threads.
 */
final class PeerMessageCodec {
    /** Maximum number of entries of any list in a message. */
    static final int MAX_ENTRIES = 256;

    /** Unit in which the age of news is encoded, rounded down. */
    static final long AGE_UNIT_MILLISECONDS = 100;

    private static final int MAX_CODES = 4;
    private static final int MAX_CODE_BYTES = 64;
    private static final int MAX_PART_BYTES = 64 * 1024;
    private static final int CHALLENGE = 1;
    private static final int PROOF = 2;
    private static final int HEARTBEAT = 3;
    private static final int CALL = 4;
    private static final int REPLY = 5;
    private static final int FAILURE = 6;

    private PeerMessageCodec() {}

    static byte[] encode(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer, message);
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException("Packing into memory failed", impossible);
        }
    }

    /** Decodes one message; throws {@link MalformedFrameException} if the bytes are not exactly one message. */
    static PeerMessage decode(byte[] payload, int length) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload, 0, length)) {
            PeerMessage message = unpack(unpacker, length);
            if (unpacker.hasNext()) {
                throw new MalformedFrameException("bytes after the message");
            }
            return message;
        } catch (IOException | MessagePackException | IllegalArgumentException malformed) {
            throw new MalformedFrameException("not a message: " + malformed.getMessage());
        }
    }

    private static void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            packHeartbeat(packer, heartbeat);
        } else if (message instanceof PeerMessage.Call call) {
            packer.packInt(CALL)
                    .packLong(call.correlation())
                    .packString(call.topic().name());
            packBytes(packer, call.payload());
        } else if (message instanceof PeerMessage.Reply reply) {
            packer.packInt(REPLY).packLong(reply.correlation());
            packBytes(packer, reply.payload());
        } else if (message instanceof PeerMessage.Failure failure) {
            packer.packInt(FAILURE).packLong(failure.correlation()).packBoolean(failure.notRun());
            packer.packString(failure.detail());
        } else if (message instanceof PeerMessage.Challenge challenge) {
            packer.packInt(CHALLENGE).packInt(challenge.protocolVersion());
            packBytes(packer, challenge.nonce());
        } else if (message instanceof PeerMessage.Proof proof) {
            packer.packInt(PROOF);
            packIdentity(packer, proof.identity());
            packer.packArrayHeader(proof.codes().size());
            for (byte[] code : proof.codes()) {
                packBytes(packer, code);
            }
        }
    }

    private static void packHeartbeat(MessageBufferPacker packer, PeerMessage.Heartbeat heartbeat) throws IOException {
        packer.packInt(HEARTBEAT).packLong(heartbeat.sequence()).packLong(heartbeat.appliedOffset());
        packer.packArrayHeader(heartbeat.parts().size());
        for (Map.Entry<PeerTopic, byte[]> part : heartbeat.parts().entrySet()) {
            packer.packString(part.getKey().name());
            packBytes(packer, part.getValue());
        }
        packer.packBoolean(heartbeat.zones().isPresent());
        if (heartbeat.zones().isPresent()) {
            packer.packArrayHeader(heartbeat.zones().get().size());
            for (ZoneName zone : heartbeat.zones().get()) {
                packer.packString(zone.value());
            }
        }
        packer.packArrayHeader(heartbeat.news().size());
        for (PeerMessage.PeerNews news : heartbeat.news()) {
            packer.packLong(news.memberVersion());
            if (news.memberVersion() == 0) {
                packIdentity(packer, news.identity().orElseThrow());
            }
            packer.packLong(news.sequence()).packLong(heartbeat.appliedOffset() - news.appliedOffset());
            packer.packLong(news.ageMilliseconds() / AGE_UNIT_MILLISECONDS);
        }
    }

    private static PeerMessage unpack(MessageUnpacker unpacker, int length) throws IOException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case CHALLENGE -> new PeerMessage.Challenge(unpacker.unpackInt(), unpackBytes(unpacker, MAX_CODE_BYTES));
            case PROOF -> new PeerMessage.Proof(unpackIdentity(unpacker), unpackCodes(unpacker));
            case HEARTBEAT -> unpackHeartbeat(unpacker);
            case CALL ->
                new PeerMessage.Call(unpacker.unpackLong(), unpackTopic(unpacker), unpackBytes(unpacker, length));
            case REPLY -> new PeerMessage.Reply(unpacker.unpackLong(), unpackBytes(unpacker, length));
            case FAILURE ->
                new PeerMessage.Failure(unpacker.unpackLong(), unpacker.unpackBoolean(), unpacker.unpackString());
            default -> throw new MalformedFrameException("unknown message type " + type);
        };
    }

    private static PeerMessage unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
        long sequence = unpacker.unpackLong();
        long appliedOffset = unpacker.unpackLong();
        Map<PeerTopic, byte[]> parts = new EnumMap<>(PeerTopic.class);
        int partCount = unpackCount(unpacker);
        for (int index = 0; index < partCount; index++) {
            parts.put(unpackTopic(unpacker), unpackBytes(unpacker, MAX_PART_BYTES));
        }
        Optional<List<ZoneName>> zones =
                unpacker.unpackBoolean() ? Optional.of(unpackZones(unpacker)) : Optional.empty();
        List<PeerMessage.PeerNews> news = new ArrayList<>();
        int newsCount = unpackCount(unpacker);
        for (int index = 0; index < newsCount; index++) {
            long version = unpacker.unpackLong();
            Optional<PeerIdentity> identity = version == 0 ? Optional.of(unpackIdentity(unpacker)) : Optional.empty();
            news.add(new PeerMessage.PeerNews(
                    version,
                    identity,
                    unpacker.unpackLong(),
                    appliedOffset - unpacker.unpackLong(),
                    unpacker.unpackLong() * AGE_UNIT_MILLISECONDS));
        }
        return new PeerMessage.Heartbeat(sequence, appliedOffset, parts, zones, news);
    }

    private static List<ZoneName> unpackZones(MessageUnpacker unpacker) throws IOException {
        int count = unpackCount(unpacker);
        List<ZoneName> zones = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            zones.add(new ZoneName(unpacker.unpackString()));
        }
        return zones;
    }

    private static List<byte[]> unpackCodes(MessageUnpacker unpacker) throws IOException {
        int count = unpackCount(unpacker);
        if (count > MAX_CODES) {
            throw new MalformedFrameException("too many authentication codes");
        }
        List<byte[]> codes = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            codes.add(unpackBytes(unpacker, MAX_CODE_BYTES));
        }
        return codes;
    }

    private static int unpackCount(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_ENTRIES) {
            throw new MalformedFrameException("too many entries");
        }
        return count;
    }

    private static PeerTopic unpackTopic(MessageUnpacker unpacker) throws IOException {
        return PeerTopic.valueOf(unpacker.unpackString());
    }

    private static void packIdentity(MessageBufferPacker packer, PeerIdentity identity) throws IOException {
        packer.packString(identity.process().value()).packString(identity.zone().value());
        packer.packString(identity.address().toString());
    }

    private static PeerIdentity unpackIdentity(MessageUnpacker unpacker) throws IOException {
        return new PeerIdentity(
                new ProcessIdentifier(unpacker.unpackString()),
                new ZoneName(unpacker.unpackString()),
                NetworkAddress.parse(unpacker.unpackString()));
    }

    private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] unpackBytes(MessageUnpacker unpacker, int maximum) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length < 0 || length > maximum) {
            throw new MalformedFrameException("bytes of a wrong length");
        }
        return unpacker.readPayload(length);
    }
}
