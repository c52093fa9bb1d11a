package org.cicadalead.bench.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.SharedState;

/** Measures the shared state of a fleet of a given size, in one thread and without sockets. Stateless. */
public final class StateBench {
    private static final int OBSERVATIONS = 10_000;
    private static final int PUBLICATIONS = 100;
    private static final int SNAPSHOT_ITERATIONS = 5;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private StateBench() {}

    /** Runs everything for one size. */
    public static StateBenchResult run(FleetSize size) {
        SyntheticLog log = new SyntheticLog(size);
        int begin = log.records().size();
        for (int count = 0; count < OBSERVATIONS; count++) {
            log.appendObservation(count);
        }
        int published = log.records().size();
        for (int count = 0; count < PUBLICATIONS; count++) {
            log.appendTeamPublication(count);
        }
        List<byte[]> records = new ArrayList<>(log.records());
        measureFold(SharedState.empty(), records, 0, records.size());
        TimedFold first = measureFold(SharedState.empty(), records, 0, begin);
        TimedFold observations = measureFold(first.state(), records, begin, published);
        TimedFold publications = measureFold(observations.state(), records, published, records.size());
        SharedState folded = publications.state();
        requireEqual(log.state(), folded);
        return measureSnapshot(size, records, folded, observations, publications);
    }

    private static StateBenchResult measureSnapshot(
            FleetSize size, List<byte[]> records, SharedState folded, TimedFold observations, TimedFold publications) {
        SnapshotCodec codec = new SnapshotCodec();
        byte[] encoded = codec.encode(folded);
        long[] encodeTimes = new long[SNAPSHOT_ITERATIONS];
        long[] decodeTimes = new long[SNAPSHOT_ITERATIONS];
        for (int round = 0; round < SNAPSHOT_ITERATIONS; round++) {
            long start = System.nanoTime();
            codec.encode(folded);
            encodeTimes[round] = System.nanoTime() - start;
            start = System.nanoTime();
            requireEqual(folded, codec.decode(encoded).orElseThrow());
            decodeTimes[round] = System.nanoTime() - start;
        }
        return new StateBenchResult(
                size.hosts(),
                size.pools(),
                size.teams(),
                size.members(),
                Math.round(OBSERVATIONS / observations.seconds()),
                publications.seconds() * 1_000 / PUBLICATIONS,
                records.get(0).length,
                measureHeapBytes(encoded),
                folded.commands().size(),
                encoded.length,
                median(encodeTimes) / NANOSECONDS_PER_MILLISECOND,
                median(decodeTimes) / NANOSECONDS_PER_MILLISECOND);
    }

    /** Decodes and folds records, as a process does that starts; the state before them is given. */
    private static TimedFold measureFold(SharedState before, List<byte[]> records, int from, int to) {
        MessagePackCommandCodec codec = new MessagePackCommandCodec();
        SharedState state = before;
        long start = System.nanoTime();
        for (int index = from; index < to; index++) {
            state = SharedStateFold.apply(state, index + 1L, codec.decode(records.get(index)))
                    .state();
        }
        return new TimedFold(state, (System.nanoTime() - start) / NANOSECONDS_PER_SECOND);
    }

    /** Heap that one more copy of a state takes, which shares nothing with others. */
    private static long measureHeapBytes(byte[] encoded) {
        SnapshotCodec codec = new SnapshotCodec();
        long before = measureUsedHeapBytes();
        Optional<SharedState> copy = codec.decode(encoded);
        long after = measureUsedHeapBytes();
        return copy.map(held -> held.offset() > 0 ? after - before : 0).orElseThrow();
    }

    private static long measureUsedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < SNAPSHOT_ITERATIONS; round++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static long median(long[] times) {
        long[] sorted = times.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static void requireEqual(SharedState expected, SharedState actual) {
        if (!expected.equals(actual)) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "Two processes would hold different states");
        }
    }

    private record TimedFold(SharedState state, double seconds) {}
}
