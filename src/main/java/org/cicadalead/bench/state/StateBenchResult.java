package org.cicadalead.bench.state;

/**
 * Figures of one size. Immutable.
 *
 * @param hosts hosts
 * @param pools pools
 * @param teams teams
 * @param members entry processes
 * @param observationsPerSecond observations of a host decoded and folded in a second
 * @param publicationMilliseconds time to decode and fold the publication of one file of ten teams
 * @param firstPublicationBytes size of the record that publishes the whole folder
 * @param heapBytes heap that the state takes
 * @param rememberedCommands commands in the window of duplicates, which the heap contains
 * @param snapshotBytes size of the encoded state
 * @param snapshotEncodeMilliseconds median time to encode it
 * @param snapshotDecodeMilliseconds median time to decode, merge and check it
 */
public record StateBenchResult(
        int hosts,
        int pools,
        int teams,
        int members,
        long observationsPerSecond,
        double publicationMilliseconds,
        int firstPublicationBytes,
        long heapBytes,
        int rememberedCommands,
        int snapshotBytes,
        double snapshotEncodeMilliseconds,
        double snapshotDecodeMilliseconds) {}
