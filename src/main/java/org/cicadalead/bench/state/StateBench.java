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

/** Measures folding, memory and snapshots of the shared state, in one thread and without sockets. Stateless. */
public final class StateBench {
    private static final int OBSERVATIONS = 10_000;
    private static final int PUBLICATIONS = 100;
    private static final int SNAPSHOT_ITERATIONS = 5;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private StateBench() {}

    /** Runs all measurements for one fleet size. */
    public static StateBenchResult run(FleetSize size) {
        SyntheticLog log = new SyntheticLog(size);
        int fleetEnd = log.records().size();
        for (int count = 0; count < OBSERVATIONS; count++) {
            log.appendObservation(count);
        }
        int observationsEnd = log.records().size();
        for (int count = 0; count < PUBLICATIONS; count++) {
            log.appendTeamPublication(count);
        }
        List<byte[]> records = new ArrayList<>(log.records());
        measureFold(SharedState.empty(), records, 0, records.size());
        TimedFold fleet = measureFold(SharedState.empty(), records, 0, fleetEnd);
        TimedFold observations = measureFold(fleet.state(), records, fleetEnd, observationsEnd);
        TimedFold publications = measureFold(observations.state(), records, observationsEnd, records.size());
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
        for (int iteration = 0; iteration < SNAPSHOT_ITERATIONS; iteration++) {
            long start = System.nanoTime();
            codec.encode(folded);
            encodeTimes[iteration] = System.nanoTime() - start;
            start = System.nanoTime();
            requireEqual(folded, codec.decode(encoded).orElseThrow());
            decodeTimes[iteration] = System.nanoTime() - start;
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

    /** Decodes and folds a range of records onto a given state, as a process does at its start. */
    private static TimedFold measureFold(SharedState initialState, List<byte[]> records, int fromIndex, int toIndex) {
        MessagePackCommandCodec codec = new MessagePackCommandCodec();
        SharedState state = initialState;
        long startNanoseconds = System.nanoTime();
        for (int index = fromIndex; index < toIndex; index++) {
            state = SharedStateFold.apply(state, index + 1L, codec.decode(records.get(index)))
                    .state();
        }
        return new TimedFold(state, (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_SECOND);
    }

    /** Returns the heap bytes of one more copy of a state that shares no objects with other copies. */
    private static long measureHeapBytes(byte[] encoded) {
        SnapshotCodec codec = new SnapshotCodec();
        long bytesBefore = measureUsedHeapBytes();
        Optional<SharedState> copy = codec.decode(encoded);
        long bytesAfter = measureUsedHeapBytes();
        return copy.map(state -> state.offset() > 0 ? bytesAfter - bytesBefore : 0)
                .orElseThrow();
    }

    private static long measureUsedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int iteration = 0; iteration < SNAPSHOT_ITERATIONS; iteration++) {
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
